package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class RetryAfterJitterTests {
  @Test
  void neverRetriesBeforeTheExpectedTime() {
    SplittableRandom random = new SplittableRandom(3);
    for (int i = 0; i < 1_000; i++) {
      long millis = RetryAfterJitter.addJitter(Duration.ofSeconds(2), random).toMillis();
      assertTrue(millis >= 2_000 && millis <= 3_000, "was " + millis + " ms");
    }
  }
}
