package org.teaseldeal.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Path;
import java.util.Locale;
import org.teaseldeal.bench.cost.CostRun;
import org.teaseldeal.bench.demo.LoadFleet;
import org.teaseldeal.bench.load.Percentiles;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;

@Parameters(commandDescription = "Measure what a router adds to a call of an engine stand-in")
final class CostCommand extends Command {
  @Parameter(names = "--fleet", description = "Folder of settings; needs team auction")
  private Path fleet = Path.of("examples/association");

  @Parameter(names = "--calls", description = "Calls measured directly and by a router")
  private int calls = 600;

  @ParametersDelegate private final FleetOptions options = new FleetOptions();

  @Override
  protected ExitStatus run(PrintStream console, PrintStream err) throws CommandException {
    console.printf("Starting %s ...%n", options.description());
    try (HttpClient client = new HttpClient(HttpClientConfig.defaults());
        LoadFleet own = options.start(fleet, client)) {
      CostRun run =
          new CostRun(
              client, own.address("engine-1"), own.address("router-1"), own.routerPid("router-1"));
      printAddedLatency(run.measureAddedLatency(calls), console);
      printThroughput("short answers", run.measureThroughput(300, 4), console);
      printThroughput("long streams", run.measureThroughput(40, 200), console);
      console.printf(
          Locale.ROOT,
          "load average of the machine at the end: %.1f of %d processors%n",
          ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage(),
          Runtime.getRuntime().availableProcessors());
      return ExitStatus.OK;
    } catch (IOException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitStatus.REFUSED, "interrupted");
    }
  }

  private static void printAddedLatency(CostRun.AddedLatency added, PrintStream console) {
    printPaths("first token", added.direct().toFirst(), added.routed().toFirst(), console);
    printPaths("whole answer", added.direct().toEnd(), added.routed().toEnd(), console);
    console.printf("calls without a whole answer: %d%n", added.failed());
  }

  private static void printPaths(
      String what, Percentiles direct, Percentiles routed, PrintStream console) {
    console.printf(
        Locale.ROOT,
        "%-13s direct p50 %7.3f p99 %7.3f ms, by a router p50 %7.3f p99 %7.3f ms:"
            + " added p50 %.3f p99 %.3f ms, ratio p50 %.2f p99 %.2f%n",
        what,
        direct.p50(),
        direct.p99(),
        routed.p50(),
        routed.p99(),
        routed.p50() - direct.p50(),
        routed.p99() - direct.p99(),
        routed.p50() / direct.p50(),
        routed.p99() / direct.p99());
  }

  private static void printThroughput(String name, CostRun.Throughput rate, PrintStream console) {
    console.printf(
        Locale.ROOT,
        "%-14s %d answers (%d not in time), %d tokens in %.1f s; the router used %.2f s of a core:"
            + " %.0f requests and %.0f tokens a second per core%n",
        name,
        rate.answers(),
        rate.notInTime(),
        rate.frames(),
        rate.seconds(),
        rate.processorSeconds(),
        rate.answers() / rate.processorSeconds(),
        rate.frames() / rate.processorSeconds());
  }
}
