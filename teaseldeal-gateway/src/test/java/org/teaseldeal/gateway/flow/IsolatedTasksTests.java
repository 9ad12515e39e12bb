package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class IsolatedTasksTests {
  private final IsolatedTasks steps = new IsolatedTasks();
  private final List<String> ran = new ArrayList<>();

  /**
   * A task that runs before the one that enforces deadlines throws an exception or an error in each
   * round. If that prevented the later task from running, requests would outlast their deadlines.
   */
  @Test
  void runsEachTaskEvenIfAnEarlierOneThrows() {
    for (int round = 0; round < 2; round++) {
      steps.run("broken", () -> fail(new IllegalStateException("expected by the test")));
      steps.run("worse", () -> fail(new AssertionError("expected by the test")));
      steps.run("deadlines", () -> ran.add("deadlines"));
    }
    assertEquals(List.of("deadlines", "deadlines"), ran);
  }

  @Test
  void runsAFailedTaskAgain() {
    steps.run("step", () -> fail(new IllegalStateException("expected by the test")));
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
