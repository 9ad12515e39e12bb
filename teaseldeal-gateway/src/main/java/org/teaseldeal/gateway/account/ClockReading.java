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
   * How far the heartbeats may seem to have gone on beyond the time of day: servers start, and a
   * list that is read again shows some at once.
   */
  private static final Duration HEARTBEAT_TOLERANCE = Duration.ofMillis(500);

  /** How much a time of day that is being corrected may gain or lose unnoticed in a few seconds. */
  private static final Duration SLEWED = Duration.ofMillis(200);

  /**
   * The time from {@code earlier} to this reading, if both were taken in one run of the machine.
   */
  public Optional<Duration> since(ClockReading earlier) {
    Duration steady = Duration.ofNanos(steadyNanos - earlier.steadyNanos);
    Duration wall = Duration.ofMillis(wallMillis - earlier.wallMillis);
    boolean sameRun = steady.minus(wall).abs().compareTo(SAME) <= 0 && !steady.isNegative();
    return sameRun ? Optional.of(steady) : Optional.empty();
  }

  /**
   * The time from {@code earlier} to this reading at most, as the time of day says, if the
   * heartbeats of others bear it out; for a machine that lost power between the two.
   *
   * <p>A time of day that was set back meanwhile would make the time look shorter, and a successor
   * would take back tokens that were spent. The heartbeats show it: they go on with time.
   *
   * @param heartbeatsEarlier the count at {@code earlier}
   * @param heartbeats the count at {@code counted}, which is at or after this reading
   */
  Optional<Duration> sinceByTimeOfDay(
      ClockReading earlier,
      long heartbeatsEarlier,
      ClockReading counted,
      HeartbeatCount heartbeats) {
    Duration untilCounted = Duration.ofMillis(counted.wallMillis - earlier.wallMillis);
    Duration byHeartbeats = heartbeats.since(heartbeatsEarlier);
    boolean borneOut =
        !byHeartbeats.isNegative()
            && byHeartbeats.compareTo(untilCounted.plus(HEARTBEAT_TOLERANCE)) <= 0;
    Duration since = Duration.ofMillis(wallMillis - earlier.wallMillis).plus(SLEWED);
    return borneOut && !since.isNegative() ? Optional.of(since) : Optional.empty();
  }
}
