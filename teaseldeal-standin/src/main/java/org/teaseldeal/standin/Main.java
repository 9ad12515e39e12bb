package org.teaseldeal.standin;

import java.util.EnumSet;
import java.util.Map;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.cli.Program;

/**
 * Entry point of the command line, which starts one stand-in: {@code platform}, {@code engine} or
 * {@code service}.
 */
public final class Main {
  private Main() {}

  /** Starts a stand-in, which runs until the process is terminated. */
  public static void main(String[] args) {
    ExitStatus status = program().run(System.out, System.err, args);
    if (status != ExitStatus.OK) {
      System.exit(status.code());
    }
  }

  static Program program() {
    return new Program(
        "teaseldeal-standin",
        Map.of(
            "platform", new PlatformCommand(),
            "engine", new EngineCommand(),
            "service", new ServiceCommand()),
        EnumSet.of(ExitStatus.WRONG_FILE, ExitStatus.UNREACHABLE));
  }
}
