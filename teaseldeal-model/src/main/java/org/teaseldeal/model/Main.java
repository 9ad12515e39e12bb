package org.teaseldeal.model;

import java.util.EnumSet;
import java.util.Map;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.cli.Program;

/** The model's command line. */
public final class Main {
  private Main() {}

  /** Runs one command and ends the process with its status. */
  public static void main(String[] args) {
    // Before the first log line: what instances of the model lose and regain is part of the play.
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
