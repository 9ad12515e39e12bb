package org.teaseldeal.model;

import java.util.EnumSet;
import java.util.Map;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.cli.Program;

/** Entry point of the model's command line. */
public final class Main {
  private Main() {}

  /** Runs one command and exits the process with its exit status. */
  public static void main(String[] args) {
    // Has to be set before the first log line. The configuration logs errors only, because
    // simulated instances lose and regain their dependencies as part of a scenario.
    System.setProperty("tinylog.configuration", "tinylog-model.properties");
    System.exit(program().run(System.out, System.err, args).code());
  }

  static Program program() {
    return new Program(
        "teaseldeal-model",
        Map.of("play", new PlayCommand(), "experiment", new ExperimentCommand()),
        EnumSet.of(ExitStatus.REFUSED, ExitStatus.WRONG_FILE));
  }
}
