package org.teaseldeal.model;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/**
 * A clock that advances from one scheduled event to the next. Events of the same time run in the
 * order in which they were scheduled.
 */
final class VirtualTime implements InstantSource {
  private record ScheduledEvent(long atNanos, long order, Runnable action)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(order, other.order);
    }
  }

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
  private long nowNanos;
  private long nextOrder;

  @Override
  public Instant instant() {
    return START.plusNanos(nowNanos);
  }

  /** Returns the nanoseconds since the start of the simulation. */
  long elapsedNanos() {
    return nowNanos;
  }

  /** Schedules {@code action} to run after {@code delay}. */
  void schedule(Duration delay, Runnable action) {
    scheduleNanos(delay.toNanos(), action);
  }

  void scheduleNanos(long delay, Runnable action) {
    events.add(new ScheduledEvent(nowNanos + Math.max(0, delay), nextOrder++, action));
  }

  /** Runs all events that are due up to {@code end}, counted from the start of the simulation. */
  void runUntil(Duration end) {
    while (!events.isEmpty() && events.peek().atNanos() <= end.toNanos()) {
      ScheduledEvent next = events.remove();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = end.toNanos();
  }
}
