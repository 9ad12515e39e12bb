package org.teaseldeal.model;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.PriorityQueue;

/** A clock that moves from one planned event to the next; events of a moment keep their order. */
final class VirtualTime implements InstantSource {
  private record Event(long atNanos, long order, Runnable action) implements Comparable<Event> {
    @Override
    public int compareTo(Event other) {
      return atNanos != other.atNanos
          ? Long.compare(atNanos, other.atNanos)
          : Long.compare(order, other.order);
    }
  }

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

  private final PriorityQueue<Event> events = new PriorityQueue<>();
  private long nowNanos;
  private long order;

  @Override
  public Instant instant() {
    return START.plusNanos(nowNanos);
  }

  /** Nanoseconds since the start. */
  long nanos() {
    return nowNanos;
  }

  /** Runs {@code action} after {@code delay}. */
  void after(Duration delay, Runnable action) {
    afterNanos(delay.toNanos(), action);
  }

  void afterNanos(long delay, Runnable action) {
    events.add(new Event(nowNanos + Math.max(0, delay), order++, action));
  }

  /** Runs all events up to {@code end} since the start. */
  void runUntil(Duration end) {
    while (!events.isEmpty() && events.peek().atNanos() <= end.toNanos()) {
      Event next = events.remove();
      nowNanos = next.atNanos();
      next.action().run();
    }
    nowNanos = end.toNanos();
  }
}
