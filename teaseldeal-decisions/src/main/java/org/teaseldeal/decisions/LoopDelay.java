package org.teaseldeal.decisions;

import java.time.Duration;

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
    recent = longer(late, recent.dividedBy(2));
  }

  /**
   * Returns by how much the loop is late.
   *
   * @param overdue for how long the next round has been due; zero if it is not due yet
   */
  public Duration at(Duration overdue) {
    return longer(overdue, recent);
  }

  private static Duration longer(Duration one, Duration other) {
    return one.compareTo(other) > 0 ? one : other;
  }
}
