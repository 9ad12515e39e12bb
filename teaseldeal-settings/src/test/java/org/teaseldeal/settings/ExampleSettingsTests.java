package org.teaseldeal.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.settings.SettingsParser.Parsed;

class ExampleSettingsTests {
  private static final Path EXAMPLES = Path.of("..", "examples");

  @ParameterizedTest
  @ValueSource(strings = {"aarhus", "association"})
  void examplesAreValidAndUseOnlyPoolsOfTheirFleet(String deployment) throws IOException {
    FleetSettings fleet = fleet(deployment);
    List<TeamSettings> teams = teams(deployment);

    assertEquals(2, teams.size());
    for (TeamSettings team : teams) {
      for (ServiceSettings service : team.services().values()) {
        PoolSettings pool =
            Objects.requireNonNull(fleet.pools().get(service.pool()), service.id().toString());
        assertEquals(pool.kind(), service.kind(), service.id().toString());
      }
    }
  }

  private static FleetSettings fleet(String deployment) throws IOException {
    Parsed<FleetSettings> parsed =
        SettingsParser.parseFleet(
            Files.readString(EXAMPLES.resolve(deployment).resolve("fleet.toml")));
    assertInstanceOf(Parsed.Valid.class, parsed, parsed::toString);
    return ((Parsed.Valid<FleetSettings>) parsed).settings();
  }

  private static List<TeamSettings> teams(String deployment) throws IOException {
    try (Stream<Path> files = Files.list(EXAMPLES.resolve(deployment))) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("team-"))
          .sorted()
          .map(ExampleSettingsTests::team)
          .toList();
    }
  }

  private static TeamSettings team(Path file) {
    String name = file.getFileName().toString().replace("team-", "").replace(".toml", "");
    Parsed<TeamSettings> parsed;
    try {
      parsed = SettingsParser.parseTeam(new SubtreeId("team/" + name), Files.readString(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    assertInstanceOf(Parsed.Valid.class, parsed, parsed::toString);
    return ((Parsed.Valid<TeamSettings>) parsed).settings();
  }
}
