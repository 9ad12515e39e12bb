package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.util.Optional;

/**
 * A machine's steady clock and its time of day, read together.
 *
 * <p>The steady clock goes on while a process is replaced by another on the same machine, and
 * begins anew when the machine loses power. The time of day tells these apart: if both moved by the
 * same amount, it is one run of the machine, and the steady clock's difference is exact. A step of
 * the time of day, a suspension or a loss of power makes them differ, and then nothing is known.
 *
 * @param steadyNanos of a clock whose origin means nothing
 * @param wallMillis since 1970
 */
public record ClockReading(long steadyNanos, long wallMillis) {
  /** Readings of the two clocks are taken one after the other, and a slow machine may pause. */
  private static final Duration SAME = Duration.ofMillis(100);

  /**
   * The time from {@code earlier} to this reading, if both were taken in one run of the machine.
   */
  public Optional<Duration> since(ClockReading earlier) {
    Duration steady = Duration.ofNanos(steadyNanos - earlier.steadyNanos);
    Duration wall = Duration.ofMillis(wallMillis - earlier.wallMillis);
    boolean sameRun = steady.minus(wall).abs().compareTo(SAME) <= 0 && !steady.isNegative();
    return sameRun ? Optional.of(steady) : Optional.empty();
  }
}
