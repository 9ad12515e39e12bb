package org.teaseldeal.standin.runtime;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.PriorityQueue;

/** A clock and scheduler whose time passes only when the test advances it. */
public final class ManualTime implements InstantSource, Scheduler {
  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparing(Task::at).thenComparingLong(Task::number));
  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long nextNumber;

  @Override
  public Instant instant() {
    return now;
  }

  @Override
  public Cancellable schedule(Duration delay, Runnable task) {
    Task scheduled = new Task(now.plus(delay), nextNumber, task);
    nextNumber++;
    tasks.add(scheduled);
    return () -> tasks.remove(scheduled);
  }

  /** Advances the clock and runs the tasks that become due, in order, at their own times. */
  public void advance(Duration duration) {
    Instant end = now.plus(duration);
    while (!tasks.isEmpty() && !tasks.element().at.isAfter(end)) {
      Task task = tasks.remove();
      now = task.at;
      task.action.run();
    }
    now = end;
  }

  public void advanceMillis(long millis) {
    advance(Duration.ofMillis(millis));
  }

  private record Task(Instant at, long number, Runnable action) {}
}
