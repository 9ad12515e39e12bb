package org.teaseldeal.api;

import java.time.Duration;

/** Arithmetic on durations of up to some years. */
public final class Durations {
  private Durations() {}

  /**
   * Returns a multiple of a duration. {@link Duration#multipliedBy} computes with decimal numbers
   * of any size, which takes a hundred times as long.
   */
  public static Duration times(Duration duration, long factor) {
    return Duration.ofNanos(duration.toNanos() * factor);
  }

  /** Returns the shorter one of two durations. */
  public static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) < 0 ? one : other;
  }

  /** Returns the longer one of two durations. */
  public static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
