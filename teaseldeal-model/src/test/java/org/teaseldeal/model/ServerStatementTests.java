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

/** Fleets with engines that say in their answers that they leave, or that they want a pause. */
@Execution(ExecutionMode.CONCURRENT)
class ServerStatementTests {
  private static final Path SCENARIOS = Path.of("statement-scenarios");
  private static final List<Integer> SIZES = List.of(7, 67, 95);
  private static final int SEEDS = 2;

  static Stream<Arguments> plays() throws IOException {
    return ScenarioPlays.of(SCENARIOS, SIZES, SEEDS);
  }

  /**
   * Guards against engines that get requests though they said that they leave or want a pause,
   * because no instance reads what their answers say.
   */
  @ParameterizedTest(name = "{0}, {1} instances, seed {2}")
  @MethodSource("plays")
  void keepsToWhatEnginesSayAboutThemselves(String file, int size, long seed)
      throws CommandException {
    SimulationResult result =
        ModelFleet.simulate(ScenarioFiles.read(SCENARIOS.resolve(file)), size, seed, Set.of());
    assertEquals(List.of(), result.violations(), result.text());
    assertFalse(result.observations().isEmpty(), result.text());
  }
}
