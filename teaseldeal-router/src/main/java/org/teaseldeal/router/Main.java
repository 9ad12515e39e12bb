package org.teaseldeal.router;

import java.util.EnumSet;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.cli.Program;

/** The entry point of the router daemon. */
public final class Main {
  private Main() {}

  /** Starts the router, or exits with an error status if it can't start. */
  public static void main(String[] args) {
    // Must be set before the first log line. Several programs share the class path, and each has
    // its own configuration file.
    System.setProperty("tinylog.configuration", "tinylog-router.properties");
    ExitStatus status = program().run(System.out, System.err, args);
    if (status != ExitStatus.OK) {
      System.exit(status.code());
    }
  }

  static Program program() {
    return new Program(
        "teaseldeal-router",
        new RouterCommand(),
        EnumSet.of(ExitStatus.WRONG_FILE, ExitStatus.UNREACHABLE, ExitStatus.INCOMPLETE));
  }
}
