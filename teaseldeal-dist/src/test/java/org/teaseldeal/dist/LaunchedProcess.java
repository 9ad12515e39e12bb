package org.teaseldeal.dist;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process started by one of the launchers. Closing kills it. */
final class LaunchedProcess implements AutoCloseable {
  private static final long EXIT_TIMEOUT_SECONDS = 30;

  private final Process process;
  private final JsonNode listening;

  private LaunchedProcess(Process process, JsonNode listening) {
    this.process = process;
    this.listening = listening;
  }

  /** Starts a daemon and waits for the output line that contains its addresses. */
  static LaunchedProcess daemon(String launcher, String... args) throws IOException {
    return awaitListening(launcher, start(launcher, args));
  }

  /** Starts a daemon and appends its standard error, including log lines, to {@code errors}. */
  static LaunchedProcess daemon(Path errors, String launcher, List<String> args)
      throws IOException {
    return awaitListening(
        launcher,
        new ProcessBuilder(command(launcher, args))
            .redirectError(ProcessBuilder.Redirect.appendTo(errors.toFile()))
            .start());
  }

  private static LaunchedProcess awaitListening(String launcher, Process process)
      throws IOException {
    BufferedReader out = process.inputReader();
    for (String line = out.readLine(); line != null; line = out.readLine()) {
      if (line.startsWith("{\"event\":\"listening\"")) {
        return new LaunchedProcess(process, new ObjectMapper().readTree(line));
      }
    }
    process.destroyForcibly();
    throw new IOException(launcher + " ended before it printed its addresses");
  }

  static Process start(String launcher, String... args) throws IOException {
    return new ProcessBuilder(command(launcher, List.of(args)))
        .redirectError(ProcessBuilder.Redirect.INHERIT)
        .start();
  }

  static List<String> command(String launcher, List<String> args) {
    List<String> command = new ArrayList<>();
    command.add(launchers().resolve(launcher).toString());
    command.addAll(args);
    return command;
  }

  static Path launchers() {
    return root().resolve("bin");
  }

  /** Returns the output line that contains the addresses. */
  JsonNode listening() {
    return listening;
  }

  String address() {
    return listening.get("address").asText();
  }

  String adminAddress() {
    return listening.get("admin_address").asText();
  }

  /** Sends SIGTERM and returns the exit status. */
  int terminate() throws InterruptedException {
    sendSigterm();
    return awaitExit();
  }

  /** Sends SIGTERM. */
  void sendSigterm() {
    process.destroy();
  }

  /** Waits for the process to exit and returns its exit status. */
  int awaitExit() throws InterruptedException {
    if (!process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new AssertionError(
          "the process did not end within %d s".formatted(EXIT_TIMEOUT_SECONDS));
    }
    return process.exitValue();
  }

  /** Sends SIGKILL and waits until the process is gone. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }

  /** Sends SIGSTOP. */
  void suspend() throws IOException, InterruptedException {
    signal("STOP");
  }

  /** Sends SIGCONT. */
  void resume() throws IOException, InterruptedException {
    signal("CONT");
  }

  private void signal(String name) throws IOException, InterruptedException {
    int status =
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    if (status != 0) {
      throw new IOException("kill -%s ended with %d".formatted(name, status));
    }
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }

  // Surefire runs tests in the folder of their module.
  private static Path root() {
    return Path.of("..").toAbsolutePath().normalize();
  }
}
