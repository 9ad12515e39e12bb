package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;

/**
 * Which requests an instance still takes while it stops.
 *
 * <p>Load pattern: many instances are replaced in turn, and the balancer goes on sending callers to
 * those that stop, as too few others are left of their data centre. Taken to the end, their
 * requests run and are cut off in the middle when the process is killed; refused from the start,
 * the callers that the balancer sends before it knows are turned away for nothing. So for the time
 * that a balancer takes to notice, everything is taken; after it, what ends before the process
 * does, at the latest at its deadline. All others are told at once that they have not run.
 *
 * @param began when the instance was told to stop
 * @param ends when it cuts off what is left
 */
public record DrainAdmission(Instant began, Instant ends) {
  /** The balancer asks each second and goes by two answers; connections come until then. */
  public static final Duration BALANCER_NOTICES = Duration.ofMillis(2600);

  /** When to come back: at once, to another instance. */
  private static final Duration COME_BACK = Duration.ofMillis(100);

  /**
   * Whether a request is taken.
   *
   * @param deadline until when its caller waits
   */
  public boolean admits(Instant arrived, Instant deadline) {
    return arrived.isBefore(began.plus(BALANCER_NOTICES)) || !deadline.isAfter(ends);
  }

  /** When a caller that is turned away should come back. */
  public Duration comeBack() {
    return COME_BACK;
  }
}
