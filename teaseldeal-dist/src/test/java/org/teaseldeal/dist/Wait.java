package org.teaseldeal.dist;

import java.time.Duration;
import java.util.concurrent.Callable;

/** Waits for conditions that other processes bring about. */
final class Wait {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

  private Wait() {}

  /** Waits until {@code condition} holds. Fails if it does not hold within {@link #TIMEOUT}. */
  static void until(String what, Callable<Boolean> condition) throws Exception {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.call()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("waited %s for: %s".formatted(TIMEOUT, what));
      }
      Thread.sleep(POLL_INTERVAL);
    }
  }
}
