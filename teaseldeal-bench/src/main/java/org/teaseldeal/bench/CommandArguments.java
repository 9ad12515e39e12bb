package org.teaseldeal.bench;

import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;

/** Validation of options that several commands share. */
final class CommandArguments {
  private CommandArguments() {}

  static <T> T required(@Nullable T value, String option) throws CommandException {
    if (value == null) {
      throw new CommandException(ExitStatus.WRONG_COMMAND_LINE, option + " is missing");
    }
    return value;
  }
}
