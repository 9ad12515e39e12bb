package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class SkewCheckTests {
  private final VirtualTime time = new VirtualTime();
  private final SkewCheck check = new SkewCheck(time, Duration.ofSeconds(3));

  /** Guards against a check that no fleet can fail; three quarters are just enough. */
  @Test
  void reportsFewerServedWhileMostCallersReachOneInstance() {
    attempts(20, 20);
    check.onBegun();
    time.runUntil(Duration.ofMillis(2_999));
    attempts(0, 20);
    time.runUntil(Duration.ofSeconds(3));
    attempts(15, 20);
    assertEquals(0, check.violations().size());
    attempts(0, 1);
    assertEquals(1, check.violations().size());
  }

  private void attempts(int served, int all) {
    for (int i = 0; i < all; i++) {
      check.onFirstAttempt(i < served);
    }
  }
}
