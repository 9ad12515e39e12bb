package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * How many of its idle tokens an instance may use up before it has to say so on the log.
 *
 * <p>Load pattern: all instances are killed at once and start again. What each held idle can't be
 * given back unless its successor knows how much of it was used; without that, a kill loses half of
 * what is left of a total. So an instance that has just written a note uses only a part of its idle
 * tokens until the next one. A successor that starts soon after the last note gets the rest back.
 *
 * <p>Load pattern: all instances are cut off from the log for seconds. No note can be written, and
 * callers must be served all the same. After a while without a note everything is therefore free to
 * use; a successor that starts later than that gets nothing back.
 */
public final class LeaseRelease {
  /** Enough for the requests of one note's time; what a kill loses of the idle tokens at most. */
  private static final double AT_ONCE = 0.3;

  /** A process is killed, and its successor starts, within two seconds of the last note. */
  private static final Duration ALL_AFTER = Duration.ofMillis(2500);

  private LeaseRelease() {}

  /** Of {@code idle} tokens, how many may have been used {@code since} the last note. */
  public static long released(long idle, Duration since) {
    return since.compareTo(ALL_AFTER) >= 0 ? idle : (long) (idle * AT_ONCE);
  }

  /** How long until all may be used, if no note is written. */
  public static Duration untilAll(Duration since) {
    Duration left = ALL_AFTER.minus(since);
    return left.isNegative() ? Duration.ZERO : left;
  }
}
