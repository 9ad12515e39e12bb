package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.util.Optional;

/**
 * A reading of a machine's monotonic clock and of its wall clock, taken together.
 *
 * <p>The monotonic clock continues while a process is replaced by another on the same machine, and
 * restarts when the machine loses power. Comparing it with the wall clock tells these cases apart:
 * if both advanced by the same amount, the machine has been running without interruption and the
 * difference of the monotonic clock is exact. A step of the wall clock, a suspension or a loss of
 * power makes the two differ, and then the elapsed time is unknown.
 *
 * @param steadyNanos monotonic clock in nanoseconds, with an arbitrary origin
 * @param wallMillis wall clock in milliseconds since 1970
 */
public record ClockReading(long steadyNanos, long wallMillis) {
  /**
   * Largest difference between the advances of the two clocks within one run of the machine. The
   * clocks are read one after the other, and a slow machine may pause in between.
   */
  private static final Duration MAX_READ_SKEW = Duration.ofMillis(100);

  /**
   * How far the time derived from heartbeats may exceed the time derived from the wall clock.
   * Backend servers that start, and a server list that is read again, make the count jump ahead.
   */
  private static final Duration HEARTBEAT_TOLERANCE = Duration.ofMillis(500);

  /**
   * How much a wall clock that is being slewed may gain or lose within a few seconds without being
   * noticed.
   */
  private static final Duration MAX_SLEW = Duration.ofMillis(200);

  /**
   * Returns the time from {@code earlier} to this reading; empty unless both were taken during one
   * run of the machine.
   */
  public Optional<Duration> since(ClockReading earlier) {
    Duration steady = Duration.ofNanos(steadyNanos - earlier.steadyNanos);
    Duration wall = Duration.ofMillis(wallMillis - earlier.wallMillis);
    boolean sameRun =
        steady.minus(wall).abs().compareTo(MAX_READ_SKEW) <= 0 && !steady.isNegative();
    return sameRun ? Optional.of(steady) : Optional.empty();
  }

  /** Returns by how much the wall clock has advanced more than the monotonic clock. */
  Duration wallClockStepSince(ClockReading earlier) {
    Duration steady = Duration.ofNanos(steadyNanos - earlier.steadyNanos);
    return Duration.ofMillis(wallMillis - earlier.wallMillis).minus(steady);
  }

  /**
   * Returns an upper bound of the time from {@code earlier} to this reading according to the wall
   * clock; empty unless the count of heartbeats confirms it. Used if the machine lost power in
   * between.
   *
   * <p>If the wall clock was set back in between, the time would look too short, and a successor
   * process would reclaim tokens that had been spent. The heartbeats reveal such a step because
   * their count keeps advancing with real time.
   *
   * @param heartbeatsEarlier the count at {@code earlier}
   * @param counted the clocks when {@code heartbeats} was counted, at or after this reading
   * @param heartbeats the count at {@code counted}
   */
  Optional<Duration> sinceByWallClock(
      ClockReading earlier,
      long heartbeatsEarlier,
      ClockReading counted,
      HeartbeatCount heartbeats) {
    Duration untilCounted = Duration.ofMillis(counted.wallMillis - earlier.wallMillis);
    Duration byHeartbeats = heartbeats.since(heartbeatsEarlier);
    boolean confirmed =
        !byHeartbeats.isNegative()
            && byHeartbeats.compareTo(untilCounted.plus(HEARTBEAT_TOLERANCE)) <= 0;
    Duration since = Duration.ofMillis(wallMillis - earlier.wallMillis).plus(MAX_SLEW);
    return confirmed && !since.isNegative() ? Optional.of(since) : Optional.empty();
  }
}
