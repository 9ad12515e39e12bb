package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaseldeal.settings.SettingsParser.Parsed;

/** Each scenario keeps what callers were promised, whatever it does to the fleet. */
@Execution(ExecutionMode.CONCURRENT)
class ModelPromiseTests {
  private static final Path SCENARIOS = Path.of("scenarios");
  private static final int LARGE = 95;
  private static final int SEEDS = 5;

  static Stream<Arguments> plays() throws IOException {
    try (Stream<Path> files = Files.list(SCENARIOS)) {
      return files.sorted().toList().stream()
          .flatMap(
              file ->
                  IntStream.rangeClosed(1, SEEDS)
                      .mapToObj(seed -> Arguments.of(file.getFileName().toString(), seed)));
    }
  }

  /** Guards against totals that are overspent, requests that run twice, and plans that go back. */
  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("plays")
  void keepsItsPromises(String file, long seed) throws IOException {
    PlayResult result = ModelFleet.play(scenario(file), LARGE, seed, Set.of());
    assertEquals(List.of(), result.broken());
    assertTrue(result.all().sent() > 0, result.text());
  }

  /** Guards against plays that can't be repeated, so that pairs of them compare nothing. */
  @Test
  void playsTheSameTwice() throws IOException {
    Scenario scenario = scenario("power-of-some.toml");
    assertEquals(
        ModelFleet.play(scenario, 20, 7, Set.of()).text(),
        ModelFleet.play(scenario, 20, 7, Set.of()).text());
  }

  private static Scenario scenario(String file) throws IOException {
    return switch (ScenarioParser.parse(Files.readString(SCENARIOS.resolve(file)))) {
      case Parsed.Valid<Scenario> valid -> valid.settings();
      case Parsed.Invalid<Scenario> invalid ->
          throw new IllegalArgumentException(file + ": " + invalid.problems());
    };
  }
}
