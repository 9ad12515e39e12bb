package org.teaseldeal.bench.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaseldeal.settings.CustomerSettings;
import org.teaseldeal.settings.ServiceSettings;
import org.teaseldeal.settings.SettingsParser;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;

/**
 * Checks the scenario files against the example settings. A scenario that names a missing service
 * or customer would only measure refusals.
 */
class ScenarioFilesTests {
  private static final Path ROOT = Path.of("..");

  static List<Path> files() throws IOException {
    try (Stream<Path> all = Files.walk(ROOT.resolve("scenarios"))) {
      return all.filter(file -> file.toString().endsWith(".toml")).sorted().toList();
    }
  }

  @ParameterizedTest
  @MethodSource("files")
  void refersToServicesAndCustomersOfTheExamples(Path file) throws IOException {
    Scenario scenario = parse(file);
    assertEquals(file.getFileName().toString(), scenario.name() + ".toml");
    String deployment = file.getName(file.getNameCount() - 2).toString();
    for (Flow flow : scenario.flows()) {
      TeamSettings team = team(deployment, flow.service().team().name());
      ServiceSettings service = team.services().get(flow.service().name());
      CustomerSettings customer = team.customers().get(flow.customer().name());
      assertNotNull(service, flow.service()::toString);
      assertNotNull(customer, flow.customer()::toString);
      assertTrue(customer.mayCall(flow.service().name()), flow::name);
      assertEquals(service.kind().name(), flow.kind().name());
      assertTrue(service.idempotent() || flow.keyed(), flow::name);
      assertTrue(flow.timeout().compareTo(service.timeout()) <= 0, flow::name);
    }
  }

  private static Scenario parse(Path file) throws IOException {
    return valid(ScenarioParser.parse(Files.readString(file)));
  }

  private static TeamSettings team(String deployment, String name) throws IOException {
    Path file = ROOT.resolve("examples").resolve(deployment).resolve("team-" + name + ".toml");
    return valid(SettingsParser.parseTeam(new SubtreeId("team/" + name), Files.readString(file)));
  }

  private static <T> T valid(Parsed<T> parsed) {
    return switch (parsed) {
      case Parsed.Valid<T> valid -> valid.settings();
      case Parsed.Invalid<T> invalid -> throw new AssertionError(invalid.problems());
    };
  }
}
