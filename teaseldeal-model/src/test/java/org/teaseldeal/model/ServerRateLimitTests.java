package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.teaseldeal.cli.CommandException;

/** Fleets with engines that name how many requests a second they take of all instances together. */
@Execution(ExecutionMode.CONCURRENT)
class ServerRateLimitTests {
  private static final Path SCENARIOS = Path.of("limit-scenarios");
  private static final List<Integer> SIZES = List.of(7, 67, 95);
  private static final int SEEDS = 2;

  static Stream<Arguments> plays() throws IOException {
    return ScenarioPlays.of(SCENARIOS, SIZES, SEEDS);
  }

  /**
   * Guards against engines in need that get more than they take, because no instance reads what
   * their answers say, or because each keeps to the limit of all by itself.
   */
  @ParameterizedTest(name = "{0}, {1} instances, seed {2}")
  @MethodSource("plays")
  void keepsToTheLimitsThatEnginesName(String file, int size, long seed) throws CommandException {
    SimulationResult result =
        ModelFleet.simulate(ScenarioFiles.read(SCENARIOS.resolve(file)), size, seed, Set.of());
    assertEquals(List.of(), result.violations(), result.text());
    assertFalse(result.observations().isEmpty(), result.text());
  }
}
