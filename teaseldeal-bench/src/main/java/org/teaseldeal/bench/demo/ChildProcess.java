package org.teaseldeal.bench.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** A daemon process that the demo started. */
final class ChildProcess {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String LISTENING = "{\"event\":\"listening\"";
  private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private final String name;
  private final Process process;
  private final Path output;

  ChildProcess(String name, Process process, Path output) {
    this.name = name;
    this.process = process;
    this.output = output;
  }

  String name() {
    return name;
  }

  long pid() {
    return process.pid();
  }

  /** Waits for the output line that contains the daemon's addresses. */
  JsonNode awaitListening() throws DemoException, InterruptedException {
    long end = System.nanoTime() + START_TIMEOUT.toNanos();
    while (System.nanoTime() < end && process.isAlive()) {
      Optional<String> line = listeningLine();
      if (line.isPresent()) {
        return parse(line.get());
      }
      Thread.sleep(POLL_INTERVAL);
    }
    throw new DemoException("%s did not start to listen; see %s".formatted(name, output));
  }

  /** Kills the process immediately, like a crash. */
  void kill() {
    process.destroyForcibly();
  }

  /** Asks the process to stop. */
  void terminate() {
    process.destroy();
  }

  /** Returns the exit status if the process ends within {@code bound}, otherwise empty. */
  Optional<Integer> awaitExit(Duration bound) throws InterruptedException {
    return process.waitFor(bound.toMillis(), TimeUnit.MILLISECONDS)
        ? Optional.of(process.exitValue())
        : Optional.empty();
  }

  private Optional<String> listeningLine() throws DemoException {
    try {
      return Files.readAllLines(output).stream()
          .filter(line -> line.startsWith(LISTENING) && line.endsWith("}"))
          .findFirst();
    } catch (IOException e) {
      throw new DemoException("%s cannot be read: %s".formatted(output, e));
    }
  }

  private JsonNode parse(String line) throws DemoException {
    try {
      return JSON.readTree(line);
    } catch (IOException e) {
      throw new DemoException("%s printed a line that is not JSON: %s".formatted(name, line));
    }
  }
}
