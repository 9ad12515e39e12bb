package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class GuardedStepsTests {
  private final GuardedSteps steps = new GuardedSteps();
  private final List<String> ran = new ArrayList<>();

  /**
   * Callers' requests outlast their deadlines. A step before the one that ends them throws each
   * time, be it an exception or an error, and the one that ends them is never reached.
   */
  @Test
  void runEachStepWhateverBecomesOfTheOneBefore() {
    for (int round = 0; round < 2; round++) {
      steps.run("broken", () -> fail(new IllegalStateException("told to")));
      steps.run("worse", () -> fail(new AssertionError("told to")));
      steps.run("deadlines", () -> ran.add("deadlines"));
    }
    assertEquals(List.of("deadlines", "deadlines"), ran);
  }

  @Test
  void runAStepAgainThatFailed() {
    steps.run("step", () -> fail(new IllegalStateException("told to")));
    steps.run("step", () -> ran.add("step"));
    assertEquals(List.of("step"), ran);
  }

  private static void fail(RuntimeException exception) {
    throw exception;
  }

  private static void fail(Error error) {
    throw error;
  }
}
