package org.teaseldeal.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.teaseldeal.bench.demo.ChildProcesses.CommandRun;
import org.teaseldeal.bench.scenario.FaultChange;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.PoolSettings;
import org.teaseldeal.settings.ServiceKind;
import org.teaseldeal.settings.SettingsParser;
import org.teaseldeal.settings.SettingsParser.Parsed;

/**
 * A complete deployment on this host that exists for the duration of a load. It consists of a
 * platform, backend servers and routers, with the settings and budgets of a folder such as {@code
 * examples/association}.
 *
 * <p>Closing kills all processes. A shutdown hook does the same when the command is interrupted.
 */
public final class LoadFleet implements AutoCloseable {
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);
  private static final long TEAM_BUDGET = 100_000_000_000L;
  private static final String AUTHOR = "bench";

  private final FleetPlan plan;
  private final Path folder;
  private final ChildProcesses children;
  private final SettingsFiles files;
  private final JsonClient web;
  private final Thread hook;
  private final Map<String, String> addresses = new LinkedHashMap<>();
  private final Map<String, String> adminAddresses = new LinkedHashMap<>();
  private final Map<String, ChildProcess> routers = new LinkedHashMap<>();
  private String platform = "";

  private LoadFleet(FleetPlan plan, Path folder, HttpClient client) {
    this.plan = plan;
    this.folder = folder;
    children = new ChildProcesses(plan.launchers().toAbsolutePath(), folder);
    files = new SettingsFiles(folder);
    web = new JsonClient(client);
    hook = new Thread(children::close, "end-children");
  }

  /** Starts all processes and waits until each router accepts callers. */
  public static LoadFleet start(FleetPlan plan, HttpClient client)
      throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("teaseldeal-load");
    LoadFleet fleet = new LoadFleet(plan, folder, client);
    // A signal ends the process without closing the fleet, so a hook ends the child processes.
    Runtime.getRuntime().addShutdownHook(fleet.hook);
    try {
      fleet.startAll();
      return fleet;
    } catch (DemoException e) {
      fleet.close();
      throw new IOException("%s (output in %s)".formatted(e.getMessage(), folder), e);
    } catch (IOException | InterruptedException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  /** Returns the addresses for callers, one for each router. */
  public List<String> callerAddresses() {
    return routers.keySet().stream().map(this::address).toList();
  }

  /** Returns the address of a process, such as {@code engine-1}. */
  public String address(String name) {
    return require(addresses, name);
  }

  /** Returns the process id of a router. */
  public long routerPid(String name) {
    return require(routers, name).pid();
  }

  /** Applies a fault change of a scenario. */
  public void change(FaultChange step) throws IOException, InterruptedException {
    try {
      web.put(require(adminAddresses, step.target()), "/faults", step.json());
    } catch (DemoException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  /** Returns the folder with the settings and the output of the processes. */
  public Path folder() {
    return folder;
  }

  @Override
  public void close() {
    children.close();
    try {
      Runtime.getRuntime().removeShutdownHook(hook);
    } catch (IllegalStateException e) {
      // The virtual machine is shutting down and runs the hook itself.
    }
  }

  private void startAll() throws DemoException, IOException, InterruptedException {
    FleetSettings settings = fleetSettings();
    ChildProcess first =
        children.start(
            "platform",
            "teaseldeal-standin",
            List.of("platform", "--settings", files.platform().toString()));
    platform = listen(first);
    List<ChildProcess> started = new ArrayList<>();
    for (PoolSettings pool : settings.pools().values()) {
      started.addAll(startPool(pool));
    }
    started.addAll(startRouters());
    for (ChildProcess child : started) {
      listen(child);
    }
    publish();
    for (String router : routers.keySet()) {
      awaitReady(router);
    }
  }

  private List<ChildProcess> startPool(PoolSettings pool)
      throws DemoException, IOException, InterruptedException {
    boolean model = pool.kind() == ServiceKind.MODEL;
    String role = model ? "engine" : "service";
    List<ChildProcess> started = new ArrayList<>();
    for (String name : names(role, model ? plan.engines() : plan.services())) {
      Path file = files.backendServer(name, pool.name(), platform);
      if (model) {
        append(file, plan.batch());
      }
      started.add(
          children.start(name, "teaseldeal-standin", List.of(role, "--settings", file.toString())));
    }
    return started;
  }

  private List<ChildProcess> startRouters() throws DemoException, IOException {
    for (String name : names("router", plan.routers())) {
      Path file = files.router(name, platform);
      append(file, plan.decisions());
      routers.put(
          name, children.start(name, "teaseldeal-router", List.of("--settings", file.toString())));
    }
    return List.copyOf(routers.values());
  }

  private static List<String> names(String role, int count) {
    return IntStream.rangeClosed(1, count).mapToObj(number -> role + "-" + number).toList();
  }

  private void publish() throws DemoException, IOException, InterruptedException {
    Path fleet = Files.writeString(folder.resolve("fleet-settings.toml"), fleetText());
    runOperator("publish-fleet", "settings", "publish", "fleet", fleet.toString());
    for (Path file : teamFiles()) {
      String team = teamName(file);
      runOperator("publish-" + team, "settings", "publish", "team/" + team, file.toString());
      runOperator("budget-" + team, "budget", "create", team, Long.toString(TEAM_BUDGET));
    }
  }

  private void runOperator(String name, String... arguments)
      throws DemoException, InterruptedException {
    List<String> command = new ArrayList<>(List.of(arguments));
    command.addAll(List.of("--author", AUTHOR, "--platform", platform));
    CommandRun run = children.run(name, "teaseldeal-operator", command);
    if (run.status() != 0) {
      throw new DemoException(
          "teaseldeal-operator %s ended with %d: %s%s"
              .formatted(String.join(" ", command), run.status(), run.output(), run.errors()));
    }
  }

  private List<Path> teamFiles() throws IOException {
    try (Stream<Path> all = Files.list(plan.settings())) {
      return all.filter(file -> file.getFileName().toString().startsWith("team-"))
          .sorted()
          .toList();
    }
  }

  private static String teamName(Path file) {
    return file.getFileName().toString().replaceAll("^team-|\\.toml$", "");
  }

  private FleetSettings fleetSettings() throws DemoException, IOException {
    return switch (SettingsParser.parseFleet(fleetText())) {
      case Parsed.Valid<FleetSettings> valid -> valid.settings();
      case Parsed.Invalid<FleetSettings> invalid ->
          throw new DemoException("%s: %s".formatted(plan.settings(), invalid.problems()));
    };
  }

  /**
   * Returns the fleet's settings with the concurrency limit of the model pools replaced by that of
   * the stand-in engines, which have small batches.
   */
  private String fleetText() throws IOException {
    String text = Files.readString(plan.settings().resolve("fleet.toml"));
    return text.replaceAll(
        "(kind = \"model\"\\s+max_concurrent_per_server = )\\d+",
        "$1" + plan.concurrencyPerEngine());
  }

  private String listen(ChildProcess child) throws DemoException, InterruptedException {
    JsonNode listening = child.awaitListening();
    addresses.put(child.name(), listening.path("address").asText());
    adminAddresses.put(child.name(), listening.path("admin_address").asText());
    return address(child.name());
  }

  private void awaitReady(String router) throws DemoException, InterruptedException {
    long end = System.nanoTime() + READY_TIMEOUT.toNanos();
    while (web.status(require(adminAddresses, router), "/ready") != 200) {
      if (System.nanoTime() > end) {
        throw new DemoException(router + " was not ready in time");
      }
      Thread.sleep(POLL_INTERVAL);
    }
  }

  private static void append(Path file, String text) throws IOException {
    Files.writeString(file, Files.readString(file) + "\n" + text);
  }

  private static <T> T require(Map<String, T> map, String name) {
    T value = map.get(name);
    if (value == null) {
      throw new IllegalArgumentException(
          "process was '%s', expected one of %s".formatted(name, map.keySet()));
    }
    return value;
  }
}
