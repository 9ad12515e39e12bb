package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.operator.explain.LogFiles;
import org.teaseldeal.operator.report.CommandResult;

/** Explains from the logs of instances why a request ended as it did. */
@Parameters(
    commandNames = "explain",
    commandDescription = "Explain from the logs of instances why a request ended as it did")
public final class Explain implements Command {
  @Parameter(description = "REQUEST-ID FILE...")
  private List<String> arguments = new ArrayList<>();

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  @Override
  public CommandResult run(CommandContext context) {
    if (arguments.size() < 2) {
      throw new ParameterException(
          "arguments were '%s', expected REQUEST-ID FILE..."
              .formatted(String.join(" ", arguments)));
    }
    String request = arguments.getFirst();
    LogFiles logs;
    try {
      logs = LogFiles.read(arguments.subList(1, arguments.size()));
    } catch (IOException e) {
      return CommandResult.failed(ExitStatus.WRONG_FILE, String.valueOf(e.getMessage()));
    }
    return logs.explain(request)
        .map(CommandResult::ok)
        .orElseGet(() -> CommandResult.failed(ExitStatus.REFUSED, notFound(request, logs)));
  }

  private static String notFound(String request, LogFiles logs) {
    return "none of %2$d events says how request '%1$s' ended (%3$d lines could not be read)"
        .formatted(request, logs.events().size(), logs.unreadable());
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
