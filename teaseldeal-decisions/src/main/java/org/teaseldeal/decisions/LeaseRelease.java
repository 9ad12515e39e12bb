package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * How many of its idle tokens an instance may use up before it has to say so on the log.
 *
 * <p>Load pattern: all instances are killed at once and start again. What each held idle can't be
 * given back unless its successor knows how much of it was used; without that, a kill loses half of
 * what is left of a total. So an instance uses its idle tokens no faster than this after its last
 * note, and a successor that knows how long ago that note was written gets the rest back.
 *
 * <p>A first part may go at once, so that a large request needs no note; the rest is released
 * evenly over the cut that the lease is meant to outlast, when no note can be written. A kill with
 * a restart within two seconds of the last note thus loses a third of what was idle instead of all.
 */
public final class LeaseRelease {
  /** Released at once: one in eight. A lease is seldom smaller than eight usual requests. */
  private static final double AT_ONCE = 1.0 / 8;

  /** All is released after seven eighths of this time, that of the longest usual cut. */
  private static final Duration HORIZON = Duration.ofSeconds(9);

  private LeaseRelease() {}

  /** Of {@code idle} tokens, how many may have been used {@code since} the last note. */
  public static long released(long idle, Duration since) {
    double part = AT_ONCE + (double) since.toNanos() / HORIZON.toNanos();
    return part >= 1 ? idle : (long) (idle * part);
  }
}
