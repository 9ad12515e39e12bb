package org.teaseldeal.decisions;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/** The durations of the most recent requests of one kind. */
public final class RecentDurations {
  /**
   * Number of durations kept: enough for a 90th percentile, and few enough to be replaced soon when
   * the load changes.
   */
  private static final int MAX_KEPT = 64;

  /** Minimum number of durations for a meaningful 90th percentile. */
  private static final int MIN_SAMPLES = 10;

  private static final int PERCENTILE = 90;

  private final Deque<Duration> recent = new ArrayDeque<>();

  /** Records the duration of one request. */
  public void add(Duration duration) {
    if (recent.size() == MAX_KEPT) {
      recent.removeFirst();
    }
    recent.addLast(duration);
  }

  /** Returns the 90th percentile; zero if too few durations are known. */
  public Duration ninetiethPercentile() {
    if (recent.size() < MIN_SAMPLES) {
      return Duration.ZERO;
    }
    return recent.stream()
        .sorted()
        .skip((long) recent.size() * PERCENTILE / 100 - 1)
        .findFirst()
        .orElse(Duration.ZERO);
  }
}
