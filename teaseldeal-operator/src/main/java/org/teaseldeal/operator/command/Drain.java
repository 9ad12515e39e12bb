package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.operator.fleet.AdminClient;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;

/** Drains an instance. */
@Parameters(
    commandNames = "drain",
    commandDescription =
        "Drain an instance: it accepts no new work, finishes what it has and exits")
public final class Drain extends AdminCall {
  /** The instance has started to drain. */
  record Draining(String address) implements Report {
    @Override
    public String text() {
      return address + ": draining; the instance exits once its requests are answered";
    }
  }

  @Override
  HttpAnswer call(AdminClient client, String address) throws IOException {
    return client.drain(address);
  }

  @Override
  CommandResult onAnswer(String address, HttpAnswer answer) {
    return CommandResult.ok(new Draining(address));
  }
}
