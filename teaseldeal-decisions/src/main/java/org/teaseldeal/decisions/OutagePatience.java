package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.Optional;

/**
 * Whether a request waits for the end of an outage, and if not, when its caller should come back.
 *
 * <p>Load pattern: something that every request needs is away for some seconds. Refused at once,
 * the callers that may come back only once use up that try before it is back; held to the end,
 * those with little patience lose it for nothing. So a request waits if the outage is likely to end
 * within its patience; any other is told at once to come back when it is.
 */
public final class OutagePatience {
  /** Nine in ten outages seen end within this time. */
  private static final Duration USUAL_OUTAGE = Duration.ofSeconds(9);

  /** An outage that outlasts the usual time may end at any moment. */
  private static final Duration SHORTEST_REST = Duration.ofMillis(700);

  /** Callers heed a time to come back of up to a third of the time that they have left. */
  private static final int HEEDED_PART = 3;

  private OutagePatience() {}

  /**
   * When to come back; empty if the request should wait.
   *
   * @param outage how long it has lasted
   * @param patience how long the caller still waits for its answer to begin
   * @param deadline how long until the caller has no use for an answer
   */
  public static Optional<Duration> comeBack(Duration outage, Duration patience, Duration deadline) {
    Duration rest = USUAL_OUTAGE.minus(outage);
    Duration expected = rest.compareTo(SHORTEST_REST) < 0 ? SHORTEST_REST : rest;
    if (patience.compareTo(expected) > 0) {
      return Optional.empty();
    }
    Duration heeded = deadline.dividedBy(HEEDED_PART);
    return Optional.of(expected.compareTo(heeded) < 0 ? expected : heeded);
  }
}
