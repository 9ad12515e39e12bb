package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.cli.CommandException;

/** Fleets whose engines crash under requests with one part in their prompts. */
@Execution(ExecutionMode.CONCURRENT)
class CrashingPartTests {
  private static final Path SCENARIOS = Path.of("crash-scenarios");
  private static final Path CHANCE_SCENARIO = Path.of("scenarios", "engines-crash-in-turn.toml");
  private static final int SMALL_FLEET = 9;
  private static final int LARGE_FLEET = 95;
  private static final int SEEDS = 3;

  /** A file, a size and a seed; listed in KNOWN-RED.txt. */
  private static final List<Object> FAILING_PLAY =
      List.of("crashing-part-rarely.toml", SMALL_FLEET, 2L);

  /** The scenarios that are also simulated with a large fleet and several seeds. */
  private static final Set<String> MAIN_SCENARIOS =
      Set.of("crashing-part.toml", "crashing-first-part.toml");

  static Stream<Arguments> plays() throws IOException {
    try (Stream<Path> files = Files.list(SCENARIOS)) {
      return files.sorted().toList().stream()
          .map(file -> file.getFileName().toString())
          .flatMap(
              file ->
                  Stream.concat(
                      seeds(SEEDS).mapToObj(seed -> Arguments.of(file, SMALL_FLEET, (long) seed)),
                      seeds(MAIN_SCENARIOS.contains(file) ? SEEDS : 1)
                          .mapToObj(seed -> Arguments.of(file, LARGE_FLEET, (long) seed))))
          .filter(play -> !List.of(play.get()).equals(FAILING_PLAY));
    }
  }

  /** The same guard as of the other plays: here none of the streams taken up goes on. */
  @Tag("known-red")
  @Test
  void letsStreamsGoOnBesideARareCrashingPart() throws CommandException {
    stopsSendingRequestsWithThePartAndServesTheOthers(
        (String) FAILING_PLAY.get(0), (int) FAILING_PLAY.get(1), (long) FAILING_PLAY.get(2));
  }

  private static IntStream seeds(int count) {
    return IntStream.rangeClosed(1, count);
  }

  /**
   * Guards against requests that crash one engine after the other because no two of them are alike,
   * and against refusals of sound requests that share a caller or other parts with them.
   */
  @ParameterizedTest(name = "{0}, {1} instances, seed {2}")
  @MethodSource("plays")
  void stopsSendingRequestsWithThePartAndServesTheOthers(String file, int size, long seed)
      throws CommandException {
    SimulationResult result =
        ModelFleet.simulate(ScenarioFiles.read(SCENARIOS.resolve(file)), size, seed, Set.of());
    assertEquals(List.of(), result.violations(), result.text());
    assertTrue(result.cost().crashedByParts() > 0, result.text());
  }

  /** Guards against refusals of sound requests because engines crash for another reason. */
  @ParameterizedTest
  @ValueSource(ints = {SMALL_FLEET, LARGE_FLEET})
  void refusesNothingIfEnginesCrashByChance(int size) throws CommandException {
    SimulationResult result =
        ModelFleet.simulate(ScenarioFiles.read(CHANCE_SCENARIO), size, 1, Set.of());
    assertNull(result.refusals().get("quarantined"), result.text());
  }
}
