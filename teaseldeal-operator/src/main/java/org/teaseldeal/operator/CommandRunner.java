package org.teaseldeal.operator;

import com.beust.jcommander.ParameterException;
import java.io.PrintStream;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.operator.CommandLine.ParseResult;
import org.teaseldeal.operator.command.Command;
import org.teaseldeal.operator.command.CommandContext;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.ReportPrinter;

/**
 * Runs one command line.
 *
 * <p>A text report goes to {@code out} if the command succeeded and to {@code err} otherwise. A
 * JSON report always goes to {@code out}, so that programs find it in one place.
 */
final class CommandRunner {
  private final CommandContext context;
  private final PrintStream out;
  private final PrintStream err;

  CommandRunner(CommandContext context, PrintStream out, PrintStream err) {
    this.context = context;
    this.out = out;
    this.err = err;
  }

  ExitStatus run(String... arguments) {
    return switch (new CommandLine().parse(arguments)) {
      case ParseResult.PrintText(String text) -> {
        out.println(text);
        yield ExitStatus.OK;
      }
      case ParseResult.Invalid(String message) -> {
        err.println(message);
        yield ExitStatus.WRONG_COMMAND_LINE;
      }
      case ParseResult.RunCommand(String name, Command command) -> run(name, command);
    };
  }

  private ExitStatus run(String name, Command command) {
    CommandResult result;
    try {
      result = command.run(context);
    } catch (ParameterException e) {
      err.println(CommandLine.errorMessage(e, name));
      return ExitStatus.WRONG_COMMAND_LINE;
    }
    print(result, command.common().json());
    return result.status();
  }

  private void print(CommandResult result, boolean json) {
    if (json) {
      out.println(ReportPrinter.json(result.report()));
      return;
    }
    PrintStream stream = result.status() == ExitStatus.OK ? out : err;
    stream.println(result.report().text());
  }
}
