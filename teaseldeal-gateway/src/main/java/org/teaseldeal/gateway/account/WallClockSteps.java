package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;

/**
 * Tells whether the machine's wall clock may be set back within seconds.
 *
 * <p>A successor on a machine that lost power derives the age of the last note from the wall clock.
 * If the clock was set back in between, the note looks younger than it is, and tokens that were
 * used could be given out again. A clock that was set ahead may be corrected in this way. A clock
 * that was set back can only make the note look older when it is corrected, and a clock that shows
 * its earlier time again has been corrected.
 */
final class WallClockSteps {
  /** How long a clock shows another time until this counts as its correct time. */
  private static final Duration CORRECTION_TIME = Duration.ofSeconds(20);

  /**
   * What may remain of a step after its correction, as the clocks are not read at the same instant.
   * {@link ClockReading} allows for as much in the age of a note.
   */
  private static final Duration MAX_RESIDUAL = Duration.ofMillis(200);

  /** How far the clock is ahead of its time before the recent steps. */
  private Duration ahead = Duration.ZERO;

  /** The lowest value of {@link #ahead} since the recent steps began. */
  private Duration lowest = Duration.ZERO;

  private Instant lastStep = Instant.EPOCH;

  /**
   * Records a step.
   *
   * @param step how far the clock was set ahead; negative if it was set back
   */
  void onStep(Duration step, Instant now) {
    if (!isRecent(now)) {
      ahead = Duration.ZERO;
      lowest = Duration.ZERO;
    }
    ahead = ahead.plus(step);
    lowest = ahead.compareTo(lowest) < 0 ? ahead : lowest;
    lastStep = now;
  }

  /** Returns whether the clock may be set back to a time that it showed recently. */
  boolean mayBeSetBack(Instant now) {
    boolean corrected = ahead.abs().compareTo(MAX_RESIDUAL) <= 0;
    boolean higher = ahead.minus(lowest).compareTo(MAX_RESIDUAL) > 0;
    return isRecent(now) && higher && !corrected;
  }

  private boolean isRecent(Instant now) {
    return lastStep.plus(CORRECTION_TIME).isAfter(now);
  }
}
