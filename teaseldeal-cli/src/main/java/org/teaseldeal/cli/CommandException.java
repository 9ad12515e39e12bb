package org.teaseldeal.cli;

/** Ends a command with an exit status and an error message that is printed to standard error. */
public final class CommandException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ExitStatus status;

  public CommandException(ExitStatus status, String message) {
    super(message);
    this.status = status;
  }

  /** Returns the status with which the process exits. */
  public ExitStatus status() {
    return status;
  }
}
