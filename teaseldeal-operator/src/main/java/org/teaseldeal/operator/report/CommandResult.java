package org.teaseldeal.operator.report;

import java.util.Locale;
import org.teaseldeal.cli.ExitStatus;

/** The exit status and the report of a finished command. */
public record CommandResult(ExitStatus status, Report report) {
  /** Returns the result of a command that succeeded. */
  public static CommandResult ok(Report report) {
    return new CommandResult(ExitStatus.OK, report);
  }

  /**
   * Returns the result of a command that failed with {@code status} for the reason {@code message}.
   */
  public static CommandResult failed(ExitStatus status, String message) {
    return new CommandResult(status, new Failure(status.name().toLowerCase(Locale.ROOT), message));
  }

  /** The report of a failed command. */
  public record Failure(String error, String message) implements Report {
    @Override
    public String text() {
      return message;
    }
  }
}
