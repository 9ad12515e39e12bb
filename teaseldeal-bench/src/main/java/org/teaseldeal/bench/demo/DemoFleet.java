package org.teaseldeal.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import org.teaseldeal.bench.demo.ChildProcesses.CommandRun;

/** The processes of the demo: a platform, two engines, a plain service and three routers. */
final class DemoFleet {
  private static final List<String> ENGINES = List.of("engine-1", "engine-2");
  private static final String SERVICE = "service-1";
  private static final List<String> ROUTERS = List.of("router-1", "router-2", "router-3");
  private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration STOP_TIMEOUT = Duration.ofSeconds(40);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(100);

  private final ChildProcesses children;
  private final SettingsFiles files;
  private final JsonClient web;
  private final Map<String, RunningProcess> running = new LinkedHashMap<>();
  private final List<String> serving = new CopyOnWriteArrayList<>();
  private String platform = "";

  DemoFleet(ChildProcesses children, SettingsFiles files, JsonClient web) {
    this.children = children;
    this.files = files;
    this.web = web;
  }

  /** Starts the platform, the engines and the plain service. */
  void startPlatformAndServers() throws DemoException, InterruptedException {
    platform = start("platform", "teaseldeal-standin", "platform", files.platform()).address();
    List<ChildProcess> started = new ArrayList<>();
    for (String engine : ENGINES) {
      started.add(
          startStandin(engine, "engine", files.backendServer(engine, "language", platform)));
    }
    started.add(startStandin(SERVICE, "service", files.backendServer(SERVICE, "apps", platform)));
    for (ChildProcess child : started) {
      listen(child);
    }
  }

  /** Starts the routers and waits until each reports that it is ready. */
  void startRouters() throws DemoException, InterruptedException {
    List<ChildProcess> started = new ArrayList<>();
    for (String router : ROUTERS) {
      Path settings = files.router(router, platform);
      started.add(
          children.start(router, "teaseldeal-router", List.of("--settings", settings.toString())));
    }
    for (ChildProcess child : started) {
      RunningProcess router = listen(child);
      awaitReady(router);
      serving.add(router.address());
    }
  }

  /** Returns the addresses of the routers that accept callers. */
  List<String> serving() {
    return serving;
  }

  String platform() {
    return platform;
  }

  List<String> engineAdmins() {
    return ENGINES.stream().map(name -> process(name).adminAddress()).toList();
  }

  String serviceAdmin() {
    return process(SERVICE).adminAddress();
  }

  /** Runs the operator's command line. Throws unless it ends with status 0. */
  String runOperator(String name, String... arguments) throws DemoException, InterruptedException {
    CommandRun run = tryRunOperator(name, arguments);
    if (run.status() != 0) {
      throw new DemoException(
          "teaseldeal-operator %s ended with %d: %s%s"
              .formatted(String.join(" ", arguments), run.status(), run.output(), run.errors()));
    }
    return run.output();
  }

  /** Runs the operator's command line. */
  CommandRun tryRunOperator(String name, String... arguments)
      throws DemoException, InterruptedException {
    List<String> command = new ArrayList<>(List.of(arguments));
    command.addAll(List.of("--platform", platform));
    return children.run(name, "teaseldeal-operator", command);
  }

  /** Kills a router while it serves requests and returns its incarnation. */
  String killRouter() throws DemoException, InterruptedException {
    RunningProcess victim = process(ROUTERS.get(1));
    String incarnation = incarnation(victim.child().name());
    victim.child().kill();
    serving.remove(victim.address());
    running.remove(victim.child().name());
    return incarnation;
  }

  /** Stops the running routers and returns a problem for each that did not exit with status 0. */
  List<String> stopRouters() throws InterruptedException {
    return stop(running.keySet().stream().filter(ROUTERS::contains).toList());
  }

  /**
   * Stops the plain service, the engines and the platform, and returns a problem for each that did
   * not exit with status 0.
   */
  List<String> stopPlatformAndServers() throws InterruptedException {
    List<String> problems = new ArrayList<>(stop(List.of(SERVICE, ENGINES.get(0), ENGINES.get(1))));
    problems.addAll(stop(List.of("platform")));
    return problems;
  }

  private List<String> stop(List<String> names) throws InterruptedException {
    names.forEach(name -> process(name).child().terminate());
    List<String> problems = new ArrayList<>();
    for (String name : names) {
      var status = process(name).child().awaitExit(STOP_TIMEOUT);
      if (status.isEmpty()) {
        problems.add("%s did not end within %s of SIGTERM".formatted(name, STOP_TIMEOUT));
      } else if (status.get() != 0) {
        problems.add("%s ended with status %d".formatted(name, status.get()));
      }
    }
    return problems;
  }

  private String incarnation(String id) throws DemoException, InterruptedException {
    for (JsonNode instance : web.json(platform, "/instances").path("instances")) {
      if (instance.path("id").asText().equals(id)) {
        return instance.path("incarnation").asText();
      }
    }
    throw new DemoException("the platform's list does not contain " + id);
  }

  private RunningProcess start(String name, String launcher, String command, Path settings)
      throws DemoException, InterruptedException {
    return listen(
        children.start(name, launcher, List.of(command, "--settings", settings.toString())));
  }

  private ChildProcess startStandin(String name, String command, Path settings)
      throws DemoException {
    return children.start(
        name, "teaseldeal-standin", List.of(command, "--settings", settings.toString()));
  }

  private RunningProcess listen(ChildProcess child) throws DemoException, InterruptedException {
    JsonNode listening = child.awaitListening();
    RunningProcess started =
        new RunningProcess(
            child, listening.path("address").asText(), listening.path("admin_address").asText());
    running.put(child.name(), started);
    return started;
  }

  private void awaitReady(RunningProcess router) throws DemoException, InterruptedException {
    long end = System.nanoTime() + READY_TIMEOUT.toNanos();
    while (web.status(router.adminAddress(), "/ready") != 200) {
      if (System.nanoTime() > end) {
        throw new DemoException("%s was not ready in time".formatted(router.child().name()));
      }
      Thread.sleep(POLL_INTERVAL);
    }
  }

  private RunningProcess process(String name) {
    return Objects.requireNonNull(running.get(name), name);
  }

  private record RunningProcess(ChildProcess child, String address, String adminAddress) {}
}
