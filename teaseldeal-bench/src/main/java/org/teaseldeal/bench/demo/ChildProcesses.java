package org.teaseldeal.bench.demo;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The processes that the demo started. Closing kills those that are still running. */
final class ChildProcesses implements AutoCloseable {
  private static final Duration COMMAND_TIMEOUT = Duration.ofSeconds(60);

  private final Path launchers;
  private final Path folder;
  private final List<Process> processes = new ArrayList<>();
  private boolean closed;

  ChildProcesses(Path launchers, Path folder) {
    this.launchers = launchers;
    this.folder = folder;
  }

  /** Starts a daemon and writes its output to {@code name}.out and {@code name}.err. */
  ChildProcess start(String name, String launcher, List<String> arguments) throws DemoException {
    Path output = folder.resolve(name + ".out");
    return new ChildProcess(name, launch(name, launcher, arguments), output);
  }

  /** Runs a program and waits until it ends. */
  CommandRun run(String name, String launcher, List<String> arguments)
      throws DemoException, InterruptedException {
    Process process = launch(name, launcher, arguments);
    if (!process.waitFor(COMMAND_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)) {
      throw new DemoException("%s did not end within %s".formatted(name, COMMAND_TIMEOUT));
    }
    try {
      return new CommandRun(
          process.exitValue(),
          Files.readString(folder.resolve(name + ".out")),
          Files.readString(folder.resolve(name + ".err")));
    } catch (IOException e) {
      throw new DemoException("the output of %s cannot be read: %s".formatted(name, e));
    }
  }

  /** Kills all processes immediately. It is also called when the demo is interrupted. */
  @Override
  public synchronized void close() {
    closed = true;
    processes.forEach(Process::destroyForcibly);
  }

  private synchronized Process launch(String name, String launcher, List<String> arguments)
      throws DemoException {
    if (closed) {
      throw new DemoException("the demo is ending");
    }
    List<String> command = new ArrayList<>();
    command.add(launchers.resolve(launcher).toString());
    command.addAll(arguments);
    File output = folder.resolve(name + ".out").toFile();
    File errors = folder.resolve(name + ".err").toFile();
    try {
      Process process =
          new ProcessBuilder(command).redirectOutput(output).redirectError(errors).start();
      processes.add(process);
      return process;
    } catch (IOException e) {
      throw new DemoException("%s cannot be started: %s".formatted(launcher, e.getMessage()));
    }
  }

  /** The exit status and the output of a program. */
  record CommandRun(int status, String output, String errors) {}
}
