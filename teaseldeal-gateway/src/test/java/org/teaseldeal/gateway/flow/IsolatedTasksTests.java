package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class IsolatedTasksTests {
  private final IsolatedTasks tasks = new IsolatedTasks();
  private final List<String> ran = new ArrayList<>();

  /**
   * A task that runs before the one that enforces deadlines throws an exception or an error in each
   * round. If that prevented the later task from running, requests would outlast their deadlines.
   */
  @Test
  void runsEachTaskEvenIfAnEarlierOneThrows() {
    for (int round = 0; round < 2; round++) {
      tasks.run("broken", () -> fail(new IllegalStateException("expected by the test")));
      tasks.run("worse", () -> fail(new AssertionError("expected by the test")));
      tasks.run("deadlines", () -> ran.add("deadlines"));
    }
    assertEquals(List.of("deadlines", "deadlines"), ran);
  }

  @Test
  void runsAFailedTaskAgain() {
    tasks.run("step", () -> fail(new IllegalStateException("expected by the test")));
    tasks.run("step", () -> ran.add("step"));
    assertEquals(List.of("step"), ran);
  }

  private static void fail(RuntimeException exception) {
    throw exception;
  }

  private static void fail(Error error) {
    throw error;
  }
}
