package org.teaseldeal.bench;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.bench.demo.LoadFleet;
import org.teaseldeal.bench.load.LoadResult;
import org.teaseldeal.bench.load.LoadRunner;
import org.teaseldeal.bench.load.Outcome;
import org.teaseldeal.bench.scenario.Scenario;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;

@Parameters(commandDescription = "Run a scenario against entry instances on loopback")
final class LoadCommand extends Command {
  private static final String LOOPBACK = "127.";

  @Parameter(names = "--scenario", required = true, description = "TOML file of the scenario")
  private @Nullable Path scenario;

  @Parameter(
      names = "--target",
      description = "Caller addresses of entry instances, 127.x.x.x:port, separated by commas")
  private List<String> targets = new ArrayList<>();

  @Parameter(
      names = "--fleet",
      description =
          "Folder of settings, such as examples/association: start a fleet with these settings")
  private @Nullable Path fleet;

  @ParametersDelegate private final FleetOptions options = new FleetOptions();

  @Parameter(names = "--label", description = "Label of this run in a report")
  private String label = "run";

  @Parameter(names = "--out", description = "File for the result as JSON")
  private @Nullable Path out;

  @Override
  protected ExitStatus run(PrintStream console, PrintStream err) throws CommandException {
    requireEitherTargetOrFleet();
    requireLoopback();
    Scenario loaded = BenchFiles.scenario(CommandArguments.required(scenario, "--scenario"));
    LoadResult result = run(loaded, console);
    printSummary(result, console);
    if (out != null) {
      BenchFiles.write(out, result);
    }
    long wrong = result.all().outcomes().getOrDefault(Outcome.WRONG, 0L);
    return wrong == 0 ? ExitStatus.OK : ExitStatus.REFUSED;
  }

  private void requireEitherTargetOrFleet() throws CommandException {
    if (targets.isEmpty() == (fleet == null)) {
      throw new CommandException(
          ExitStatus.WRONG_COMMAND_LINE, "expected either --target or --fleet");
    }
  }

  private void requireLoopback() throws CommandException {
    for (String target : targets) {
      if (!target.startsWith(LOOPBACK)) {
        throw new CommandException(
            ExitStatus.WRONG_COMMAND_LINE,
            "--target was '%s', expected an address in 127.0.0.0/8".formatted(target));
      }
    }
  }

  private LoadResult run(Scenario loaded, PrintStream console) throws CommandException {
    String run = Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    try (HttpClient client = new HttpClient(HttpClientConfig.defaults())) {
      return fleet == null
          ? runOn(targets, loaded, run, client, console)
          : runOnOwnFleet(fleet, loaded, run, client, console);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitStatus.REFUSED, "interrupted");
    }
  }

  private LoadResult runOn(
      List<String> addresses, Scenario loaded, String run, HttpClient client, PrintStream console)
      throws CommandException, InterruptedException {
    if (!loaded.faults().isEmpty() && fleet == null) {
      throw new CommandException(
          ExitStatus.WRONG_COMMAND_LINE, "the scenario sets faults, expected --fleet");
    }
    return new LoadRunner(client, addresses).run(loaded, run, label, console::println);
  }

  private LoadResult runOnOwnFleet(
      Path settings, Scenario loaded, String run, HttpClient client, PrintStream console)
      throws CommandException, InterruptedException {
    console.printf("Starting %s ...%n", options.description());
    try (LoadFleet own = options.start(settings, client);
        FaultScheduler faults = new FaultScheduler(own, loaded.faults())) {
      LoadResult result = runOn(own.callerAddresses(), loaded, run, client, console);
      if (!faults.failures().isEmpty()) {
        throw new CommandException(
            ExitStatus.UNREACHABLE, "faults were not set: " + faults.failures());
      }
      return result;
    }
  }

  private static void printSummary(LoadResult result, PrintStream console) {
    result
        .byFlow()
        .forEach(
            (flow, part) ->
                console.printf(
                    Locale.ROOT,
                    "%-24s sent %6d  in time %6d (%5.1f%%)  first p50 %7.1f p99 %7.1f ms  %s%n",
                    flow,
                    part.sent(),
                    part.outcomes().getOrDefault(Outcome.IN_TIME, 0L),
                    100 * part.inTimeShare(),
                    part.toFirstMillis().p50(),
                    part.toFirstMillis().p99(),
                    part.causes()));
  }
}
