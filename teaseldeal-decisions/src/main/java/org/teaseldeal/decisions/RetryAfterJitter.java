package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Adds jitter to the retry delays of refused callers.
 *
 * <p>If a burst of requests is refused at one moment and all callers get the same retry delay, they
 * return as the same burst. Spread evenly over an additional half of that delay, they return at no
 * more than twice the rate at which the queue drains, which the queue's bound absorbs.
 */
public final class RetryAfterJitter {
  private static final double JITTER = 0.5;
  private static final Duration MAX_EXPECTED = Duration.ofSeconds(30);

  private RetryAfterJitter() {}

  /** Returns a random retry delay between {@code expected}, limited to 30 s, and 1.5 times that. */
  public static Duration addJitter(Duration expected, RandomGenerator random) {
    Duration bounded = expected.compareTo(MAX_EXPECTED) > 0 ? MAX_EXPECTED : expected;
    return bounded.plusMillis((long) (bounded.toMillis() * JITTER * random.nextDouble()));
  }
}
