package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a request waits for the end of an outage, and otherwise when its caller should
 * retry.
 *
 * <p>Something that every request needs may be unavailable for some seconds. If requests were
 * refused immediately, callers that may retry only once would use up that retry before the outage
 * ends. If they were held until the end, callers with short timeouts would lose the waiting time
 * for nothing. So a request waits if the outage is likely to end before the caller's timeout;
 * otherwise its caller is told immediately to retry when the outage is likely to be over.
 */
public final class OutageRetryPolicy {
  /** Time within which nine in ten outages end. */
  private static final Duration USUAL_OUTAGE = Duration.ofSeconds(9);

  /**
   * Shortest remaining time that is assumed; an outage that exceeds the usual time may end at any
   * moment.
   */
  private static final Duration MIN_REMAINING = Duration.ofMillis(700);

  /** Callers respect a retry delay of up to this fraction (one third) of their remaining time. */
  private static final int RESPECTED_DIVISOR = 3;

  private OutageRetryPolicy() {}

  /**
   * Returns the delay after which to retry; empty if the request should wait.
   *
   * @param outage how long the outage has lasted
   * @param callerTimeout how long the caller still waits for its answer to begin
   * @param deadline how long until an answer is of no use to the caller
   */
  public static Optional<Duration> retryAfter(
      Duration outage, Duration callerTimeout, Duration deadline) {
    Duration usualRemaining = USUAL_OUTAGE.minus(outage);
    Duration expected =
        usualRemaining.compareTo(MIN_REMAINING) < 0 ? MIN_REMAINING : usualRemaining;
    if (callerTimeout.compareTo(expected) > 0) {
      return Optional.empty();
    }
    Duration longestRespected = deadline.dividedBy(RESPECTED_DIVISOR);
    return Optional.of(expected.compareTo(longestRespected) < 0 ? expected : longestRespected);
  }
}
