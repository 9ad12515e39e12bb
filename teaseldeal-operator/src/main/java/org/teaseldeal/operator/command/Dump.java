package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.operator.fleet.AdminClient;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;

/** Prints the state of an instance. */
@Parameters(commandNames = "dump", commandDescription = "Print the state of an instance as JSON")
public final class Dump extends AdminCall {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** The state of the instance; people get it as JSON too, because it is deeply nested. */
  record State(@JsonValue JsonNode tables) implements Report {
    @Override
    public String text() {
      return tables.toPrettyString();
    }
  }

  @Override
  HttpAnswer call(AdminClient client, String address) throws IOException {
    return client.dump(address);
  }

  @Override
  CommandResult onAnswer(String address, HttpAnswer answer) {
    try {
      return CommandResult.ok(new State(MAPPER.readTree(answer.text())));
    } catch (JsonProcessingException e) {
      return CommandResult.failed(
          ExitStatus.UNREACHABLE, "%s: its response isn't JSON".formatted(address));
    }
  }
}
