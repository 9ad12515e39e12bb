package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * How many of its idle tokens an instance may use up before it has to say so on the log.
 *
 * <p>Load pattern: all instances are killed or lose power at once and start again. What each held
 * idle can't be given back unless its successor knows how much of it was used; without that, half
 * of what is left of a total is lost. So an instance that has just written a note uses only a part
 * of its idle tokens until the next one. A successor that starts soon after the last note gets the
 * rest back.
 *
 * <p>Load pattern: all instances are cut off from the log for seconds. No note can be written, and
 * callers must be served all the same. So the part that may be used grows with the time without a
 * note, faster than callers use it up; a successor that starts later gets back less.
 */
public final class LeaseRelease {
  /** Enough for the requests of one note's time; what a kill loses of the idle tokens at least. */
  private static final double AT_ONCE = 0.25;

  /**
   * A machine that lost power for a second and a half is back, with its process started, 1.9 to 2.5
   * seconds after the last note.
   */
  private static final Duration GROWS_AFTER = Duration.ofMillis(2600);

  /**
   * Leases last for nine seconds and three tenths more, see {@link PrepaidLease}, so callers need
   * four tenths of them by then. Twice as fast leaves room for uneven requests.
   */
  private static final Duration ALL_AFTER = Duration.ofMillis(4600);

  private LeaseRelease() {}

  /** Of {@code idle} tokens, how many may have been used {@code since} the last note. */
  public static long released(long idle, Duration since) {
    if (since.compareTo(ALL_AFTER) >= 0) {
      return idle;
    }
    double grown =
        Math.max(0, since.minus(GROWS_AFTER).toMillis())
            / (double) ALL_AFTER.minus(GROWS_AFTER).toMillis();
    return (long) (idle * (AT_ONCE + (1 - AT_ONCE) * grown));
  }

  /** How long until all may be used, if no note is written. */
  public static Duration untilAll(Duration since) {
    Duration left = ALL_AFTER.minus(since);
    return left.isNegative() ? Duration.ZERO : left;
  }

  /** How long until {@code tokens} of {@code idle} ones may be used, if no note is written. */
  public static Duration untilReleased(long idle, long tokens, Duration since) {
    if (tokens <= released(idle, since)) {
      return Duration.ZERO;
    }
    if (tokens > idle) {
      return untilAll(since);
    }
    double grown = ((double) tokens / idle - AT_ONCE) / (1 - AT_ONCE);
    Duration growing = ALL_AFTER.minus(GROWS_AFTER);
    Duration at = GROWS_AFTER.plusMillis((long) Math.ceil(growing.toMillis() * grown));
    Duration left = at.minus(since);
    return left.isNegative() ? Duration.ZERO : left;
  }
}
