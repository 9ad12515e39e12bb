package org.teaseldeal.cli;

import com.beust.jcommander.Parameter;
import java.io.PrintStream;

/** A command of a program; subclasses declare its options as JCommander parameters. */
public abstract class Command {
  @Parameter(names = "--help", help = true, description = "Show this text")
  private boolean helpRequested;

  /** Creates a command. */
  protected Command() {}

  /**
   * Runs the command.
   *
   * @return the status with which the process exits
   * @throws CommandException if the command fails; it carries the exit status and the message
   */
  protected abstract ExitStatus run(PrintStream out, PrintStream err) throws CommandException;

  final boolean isHelpRequested() {
    return helpRequested;
  }
}
