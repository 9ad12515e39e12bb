package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RecentDurationsTests {
  private final RecentDurations durations = new RecentDurations();

  @Test
  void isZeroForTooFewDurations() {
    addAll(1, 9);
    assertEquals(Duration.ZERO, durations.ninetiethPercentile());
  }

  @Test
  void returnsTheNinetiethPercentile() {
    addAll(1, 50);
    assertEquals(Duration.ofMillis(45), durations.ninetiethPercentile());
  }

  @Test
  void dropsTheOldestDurations() {
    addAll(5_000, 5_063);
    addAll(1, 64);
    assertEquals(Duration.ofMillis(57), durations.ninetiethPercentile());
  }

  private void addAll(int first, int last) {
    for (int millis = first; millis <= last; millis++) {
      durations.add(Duration.ofMillis(millis));
    }
  }
}
