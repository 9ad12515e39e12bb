package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import org.teaseldeal.api.Preconditions;

/**
 * Limits how often something is done, as the generic cell rate algorithm does: each permit is due
 * an interval after the one before. A permit that was taken late doesn't delay the next ones, up to
 * a tolerance, so that the rate is reached although permits can't be taken at once.
 *
 * <p>In any span of {@code s} seconds at most {@code (s + tolerance) * rate + 1} permits are taken.
 */
public final class RateLimiter {
  private static final double TOLERATED_INTERVALS = 0.25;

  /** Covers the time in which a short interval's permits can't be taken, as the process is busy. */
  private static final Duration MIN_TOLERANCE = Duration.ofMillis(100);

  /** Keeps many limiters with long intervals from giving permits in the same moment. */
  private static final Duration MAX_TOLERANCE = Duration.ofMillis(250);

  private double permitsPerSecond;
  private Instant dueAt;

  /**
   * Creates a limiter.
   *
   * @param firstInterval the part of an interval after which the first permit is due
   */
  public RateLimiter(double permitsPerSecond, double firstInterval, Instant now) {
    this.permitsPerSecond = validated(permitsPerSecond);
    this.dueAt = now.plus(times(interval(), firstInterval));
  }

  private static double validated(double permitsPerSecond) {
    Preconditions.require(
        permitsPerSecond > 0,
        "permits per second were %s, expected more than 0".formatted(permitsPerSecond));
    return permitsPerSecond;
  }

  /** Changes the rate; what is left of the present interval changes in proportion. */
  public void setRate(double newPermitsPerSecond, Instant now) {
    if (newPermitsPerSecond == permitsPerSecond) {
      return;
    }
    Duration left = Duration.between(now, dueAt);
    if (left.isPositive()) {
      dueAt = now.plus(times(left, permitsPerSecond / validated(newPermitsPerSecond)));
    }
    permitsPerSecond = validated(newPermitsPerSecond);
  }

  /** Returns when the next permit may be taken. */
  public Instant nextAt() {
    return dueAt.minus(tolerance());
  }

  /** Returns whether a permit may be taken. */
  public boolean hasPermit(Instant now) {
    return !now.isBefore(nextAt());
  }

  /** Takes a permit, also if none may be taken; then the next ones are due later. */
  public void take(Instant now) {
    Instant earliest = now.minus(tolerance());
    dueAt = (dueAt.isBefore(earliest) ? earliest : dueAt).plus(interval());
  }

  /** Returns a permit that was taken and not used. */
  public void giveBack() {
    dueAt = dueAt.minus(interval());
  }

  /** Returns the time between two permits. */
  public Duration interval() {
    return Duration.ofNanos((long) (1e9 / permitsPerSecond));
  }

  private Duration tolerance() {
    long nanos = times(interval(), TOLERATED_INTERVALS).toNanos();
    return Duration.ofNanos(Math.clamp(nanos, MIN_TOLERANCE.toNanos(), MAX_TOLERANCE.toNanos()));
  }

  private static Duration times(Duration duration, double factor) {
    return Duration.ofNanos((long) (duration.toNanos() * factor));
  }
}
