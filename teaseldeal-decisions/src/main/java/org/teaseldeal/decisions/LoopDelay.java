package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;

/**
 * How late an event loop is: the longer of the time that its present tick is overdue and what is
 * left of earlier delays, half of which is forgotten at each tick.
 *
 * <p>A single delay, as of a collection of garbage, is thus forgotten within a few ticks. It lasts
 * if the loop has more work than its share of a processor allows.
 */
public final class LoopDelay {
  private final Duration tickInterval;
  private Instant lastTickAt;
  private Duration recent = Duration.ZERO;

  /** Creates the delay of a loop whose ticks are due every {@code tickInterval} from now on. */
  public LoopDelay(Duration tickInterval, Instant now) {
    this.tickInterval = tickInterval;
    this.lastTickAt = now;
  }

  /** Records a tick. */
  public void onTick(Instant now) {
    Duration overdue = overdue(now);
    Duration left = recent.dividedBy(2);
    recent = overdue.compareTo(left) > 0 ? overdue : left;
    lastTickAt = now;
  }

  /** Returns by how much the loop is late. */
  public Duration at(Instant now) {
    Duration overdue = overdue(now);
    return overdue.compareTo(recent) > 0 ? overdue : recent;
  }

  private Duration overdue(Instant now) {
    long nanos = Duration.between(lastTickAt, now).toNanos() - tickInterval.toNanos();
    return Duration.ofNanos(Math.max(0, nanos));
  }
}
