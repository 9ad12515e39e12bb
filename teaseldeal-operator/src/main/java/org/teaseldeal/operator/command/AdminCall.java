package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.operator.fleet.AdminClient;
import org.teaseldeal.operator.report.CommandResult;

/** A command that calls the admin listener of one instance. */
abstract sealed class AdminCall implements Command permits Dump, Drain {
  private static final int FIRST_FAILURE_STATUS = 300;

  @Parameter(description = "ADDRESS (IP:PORT of the instance's admin listener)")
  private List<String> arguments = new ArrayList<>();

  @Parameter(
      names = "--timeout",
      description = "How long to wait for the response",
      defaultValueDescription = "10s",
      converter = DurationConverter.class)
  private Duration timeout = Duration.ofSeconds(10);

  @ParametersDelegate private final AdminOptions admin = new AdminOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  abstract HttpAnswer call(AdminClient client, String address) throws IOException;

  abstract CommandResult onAnswer(String address, HttpAnswer answer);

  @Override
  public CommandResult run(CommandContext context) {
    String address = PositionalArguments.check(arguments, "ADDRESS").text(0);
    HttpAnswer answer;
    try {
      answer = call(context.adminClient(admin, timeout), address);
    } catch (IOException e) {
      return CommandResult.failed(
          ExitStatus.UNREACHABLE, "the instance can't be reached: " + e.getMessage());
    }
    if (AdminClient.refusedCredential(answer)) {
      return CommandResult.failed(
          ExitStatus.REFUSED,
          "%s: refused the credential (%d), expected the right one in %s or --admin-token-file"
              .formatted(address, answer.status(), AdminOptions.ENVIRONMENT_VARIABLE));
    }
    if (answer.status() >= FIRST_FAILURE_STATUS) {
      return CommandResult.failed(
          ExitStatus.REFUSED, "%s: answered %d".formatted(address, answer.status()));
    }
    return onAnswer(address, answer);
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
