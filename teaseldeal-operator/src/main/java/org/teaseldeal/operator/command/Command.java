package org.teaseldeal.operator.command;

import org.teaseldeal.operator.report.CommandResult;

/** A command with its options filled in. */
public interface Command {
  /**
   * Runs the command. Failures are returned as results, except that an invalid option or argument
   * throws a {@code ParameterException}.
   */
  CommandResult run(CommandContext context);

  /** Returns the options that every command has. */
  CommonOptions common();
}
