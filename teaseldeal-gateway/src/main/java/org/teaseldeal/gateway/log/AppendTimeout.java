package org.teaseldeal.gateway.log;

import java.time.Duration;
import org.teaseldeal.decisions.AdaptiveTimeout;

/**
 * Adaptive timeout for appends to the shared log, which processes the appends of all writers one
 * after the other.
 */
public final class AppendTimeout {
  /**
   * Shortest timeout. The shared log normally answers within a few milliseconds, and a lost answer
   * never arrives.
   *
   * <p>Answers of writes can be lost for seconds before machines lose power. If a write were
   * repeated late, the newest notes would be seconds old, and successors would write off all tokens
   * that may have been used since.
   */
  private static final Duration MIN_TIMEOUT = Duration.ofMillis(150);

  /** Longest timeout; the log refuses an append that would wait for more than two seconds. */
  private static final Duration MAX_TIMEOUT = Duration.ofMillis(2400);

  private final AdaptiveTimeout timeout = new AdaptiveTimeout(MIN_TIMEOUT, MAX_TIMEOUT);

  /** Returns the current timeout. */
  public Duration current() {
    return timeout.current();
  }

  /** Records an append that was answered after {@code took}. */
  public void onAnswered(Duration took) {
    timeout.onAnswered(took);
  }

  /** Records an append that was sent and not answered in time. */
  public void onUnanswered() {
    timeout.onUnanswered();
  }
}
