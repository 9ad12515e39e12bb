package org.teaseldeal.decisions;

import java.time.Duration;
import org.teaseldeal.api.Durations;

/**
 * How late an event loop is: the longer of the time that its next round is overdue and what is left
 * of earlier delays, half of which is forgotten at each round.
 *
 * <p>A single delay, as of a collection of garbage, is thus forgotten within a few rounds. It lasts
 * if the loop has more work than its share of a processor allows.
 */
public final class LoopDelay {
  private Duration recent = Duration.ZERO;

  /** Records that a round has begun {@code late} after it was due. */
  public void onRound(Duration late) {
    recent = Durations.longer(late, recent.dividedBy(2));
  }

  /**
   * Returns by how much the loop is late.
   *
   * @param overdue for how long the next round has been due; zero if it is not due yet
   */
  public Duration at(Duration overdue) {
    return Durations.longer(overdue, recent);
  }
}
