package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** How long the last few requests of a kind have taken. */
public final class RecentDurations {
  /** Enough to tell nine in ten from the rest, and soon replaced when the load changes. */
  private static final int KEPT = 64;

  /** Fewer tell nothing about the slow ones among them. */
  private static final int ENOUGH = 10;

  private static final int NEARLY_ALL_PERCENT = 90;

  private final Deque<Duration> last = new ArrayDeque<>();

  /** Counts one. */
  public void add(Duration duration) {
    if (last.size() == KEPT) {
      last.removeFirst();
    }
    last.addLast(duration);
  }

  /** What nine in ten have taken at most; zero where too few are known. */
  public Duration ofNearlyAll() {
    if (last.size() < ENOUGH) {
      return Duration.ZERO;
    }
    return last.stream()
        .sorted()
        .skip((long) last.size() * NEARLY_ALL_PERCENT / 100 - 1)
        .findFirst()
        .orElse(Duration.ZERO);
  }
}
