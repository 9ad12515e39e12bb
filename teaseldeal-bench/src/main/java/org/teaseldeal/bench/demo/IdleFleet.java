package org.teaseldeal.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;

/** A platform and idle routers, whose memory and processor use is measured. */
public final class IdleFleet {
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration SETTLE_TIME = Duration.ofSeconds(8);
  private static final Duration MEASURED_TIME = Duration.ofSeconds(10);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final double CLOCK_TICKS_PER_SECOND = 100;

  private final ChildProcesses children;
  private final SettingsFiles files;
  private final JsonClient web;

  private IdleFleet(ChildProcesses children, SettingsFiles files, JsonClient web) {
    this.children = children;
    this.files = files;
    this.web = web;
  }

  /** The resources that one idle router uses: resident bytes and its share of a core. */
  public record Cost(double residentBytes, double coreShare) {}

  /** Starts routers with the given launchers, measures them and ends them. */
  public static List<Cost> measure(Path launchers, int routers) throws IOException {
    Path folder = Files.createTempDirectory("teaseldeal-idle");
    ChildProcesses children = new ChildProcesses(launchers.toAbsolutePath(), folder);
    // A signal ends the process without the finally block, so a hook ends the child processes.
    Thread hook = new Thread(children::close, "end-children");
    Runtime.getRuntime().addShutdownHook(hook);
    try (HttpClient client = new HttpClient(HttpClientConfig.defaults())) {
      List<Cost> costs =
          new IdleFleet(children, new SettingsFiles(folder), new JsonClient(client)).costs(routers);
      children.close();
      DemoCommand.delete(folder);
      return costs;
    } catch (DemoException e) {
      throw new IOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    } finally {
      children.close();
      Runtime.getRuntime().removeShutdownHook(hook);
    }
  }

  private List<Cost> costs(int count) throws DemoException, InterruptedException {
    ChildProcess platform =
        children.start(
            "platform",
            "teaseldeal-standin",
            List.of("platform", "--settings", files.platform().toString()));
    String address = platform.awaitListening().path("address").asText();
    List<ChildProcess> routers = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      String name = "router-" + number;
      Path settings = files.router(name, address);
      routers.add(
          children.start(name, "teaseldeal-router", List.of("--settings", settings.toString())));
    }
    for (ChildProcess router : routers) {
      awaitReady(router, router.awaitListening());
    }
    Thread.sleep(SETTLE_TIME);
    List<Double> before = routers.stream().map(IdleFleet::processorSeconds).toList();
    Thread.sleep(MEASURED_TIME);
    List<Cost> costs = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      double used = processorSeconds(routers.get(i)) - before.get(i);
      costs.add(new Cost(residentBytes(routers.get(i)), used / MEASURED_TIME.toSeconds()));
    }
    return costs;
  }

  private void awaitReady(ChildProcess router, JsonNode listening)
      throws DemoException, InterruptedException {
    long end = System.nanoTime() + READY_TIMEOUT.toNanos();
    String admin = listening.path("admin_address").asText();
    while (web.status(admin, "/ready") != 200) {
      if (System.nanoTime() > end) {
        throw new DemoException("%s was not ready in time".formatted(router.name()));
      }
      Thread.sleep(POLL_INTERVAL);
    }
  }

  /**
   * Returns the user and system time from fields 14 and 15 of {@code /proc/PID/stat}. Field 2, the
   * name in parentheses, may contain spaces, so the fields are counted from its end.
   */
  private static double processorSeconds(ChildProcess child) {
    String stat = read(child, "stat");
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) / CLOCK_TICKS_PER_SECOND;
  }

  private static double residentBytes(ChildProcess child) {
    return Arrays.stream(read(child, "status").split("\n"))
        .filter(line -> line.startsWith("VmRSS:"))
        .mapToLong(line -> 1024 * Long.parseLong(line.replaceAll("\\D", "")))
        .findFirst()
        .orElseThrow();
  }

  private static String read(ChildProcess child, String file) {
    try {
      return Files.readString(Path.of("/proc", Long.toString(child.pid()), file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
