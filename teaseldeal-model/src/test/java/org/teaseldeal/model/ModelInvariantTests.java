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
import org.teaseldeal.cli.CommandException;

/** The invariants that callers rely on hold in each scenario, whichever faults it injects. */
@Execution(ExecutionMode.CONCURRENT)
class ModelInvariantTests {
  private static final Path SCENARIOS = Path.of("scenarios");
  private static final int LARGE_FLEET_INSTANCES = 95;
  private static final int SEEDS = 5;

  static Stream<Arguments> scenariosAndSeeds() throws IOException {
    try (Stream<Path> files = Files.list(SCENARIOS)) {
      return files.sorted().toList().stream()
          .flatMap(
              file ->
                  IntStream.rangeClosed(1, SEEDS)
                      .mapToObj(seed -> Arguments.of(file.getFileName().toString(), seed)));
    }
  }

  /**
   * Guards against customers that use more than their prepaid total, at-most-once requests that run
   * twice, and instances that return to an earlier plan.
   */
  @ParameterizedTest(name = "{0}, seed {1}")
  @MethodSource("scenariosAndSeeds")
  void keepsAllInvariants(String file, long seed) throws CommandException {
    SimulationResult result =
        ModelFleet.simulate(
            ScenarioFiles.read(SCENARIOS.resolve(file)), LARGE_FLEET_INSTANCES, seed, Set.of());
    assertEquals(List.of(), result.violations());
    assertTrue(result.total().sent() > 0, result.text());
  }

  /**
   * Guards against simulations that depend on more than the seed: a comparison of two of them would
   * show chance rather than the mechanism that was switched off.
   */
  @Test
  void repeatsASimulationExactlyForTheSameSeed() throws CommandException {
    Scenario scenario = ScenarioFiles.read(SCENARIOS.resolve("power-of-some.toml"));
    assertEquals(
        ModelFleet.simulate(scenario, 20, 7, Set.of()).text(),
        ModelFleet.simulate(scenario, 20, 7, Set.of()).text());
  }
}
