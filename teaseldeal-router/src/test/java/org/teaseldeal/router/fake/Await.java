package org.teaseldeal.router.fake;

import java.time.Duration;
import java.util.function.BooleanSupplier;

/** Waits for conditions that other threads make true. */
public final class Await {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private Await() {}

  /** Waits until {@code condition} holds; fails if it does not hold within 20 seconds. */
  public static void until(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("condition did not hold within " + TIMEOUT);
      }
      Thread.sleep(2);
    }
  }
}
