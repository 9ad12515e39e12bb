package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

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

/** Fleets whose sound engines all do nothing for about a second, and go on then. */
@Execution(ExecutionMode.CONCURRENT)
class FrozenEngineTests {
  private static final Path SCENARIOS = Path.of("freeze-scenarios");
  private static final List<Integer> SIZES = List.of(40);
  private static final int SEEDS = 3;

  static Stream<Arguments> plays() throws IOException {
    return ScenarioPlays.of(SCENARIOS, SIZES, SEEDS);
  }

  /**
   * Guards against streams that are cut or fail beside sound servers: an instance with few requests
   * hears of no server for a second, its probes get no answer, and it has hardly a retry.
   */
  @ParameterizedTest(name = "{0}, {1} instances, seed {2}")
  @MethodSource("plays")
  void endsNoStreamBesideFrozenEngines(String file, int size, long seed) throws CommandException {
    SimulationResult result =
        ModelFleet.simulate(ScenarioFiles.read(SCENARIOS.resolve(file)), size, seed, Set.of());
    assertEquals(List.of(), result.violations(), result.text());
    assertTrue(result.total().sent() > 0, result.text());
  }
}
