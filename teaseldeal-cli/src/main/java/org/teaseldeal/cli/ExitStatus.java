package org.teaseldeal.cli;

/**
 * The exit statuses of the processes.
 *
 * <p>A status means the same in every program; the help text of a program lists those that it uses.
 */
public enum ExitStatus {
  OK(0, "done, or ended as asked"),
  REFUSED(1, "refused, or a check did not hold"),
  WRONG_COMMAND_LINE(2, "the command line is wrong"),
  WRONG_FILE(3, "a file is missing or wrong"),
  UNREACHABLE(4, "could not start, or something needed can't be reached"),
  INCOMPLETE(5, "done, but not everywhere or not for all in time");

  private final int code;
  private final String meaning;

  ExitStatus(int code, String meaning) {
    this.code = code;
    this.meaning = meaning;
  }

  /** Returns the numeric exit code of the process. */
  public int code() {
    return code;
  }

  /** Returns the explanation of this status in help texts. */
  public String meaning() {
    return meaning;
  }
}
