package org.teaseldeal.gateway.account;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class WallClockStepsTests {
  private static final Instant NOW = Instant.EPOCH.plusSeconds(100);

  private final WallClockSteps steps = new WallClockSteps();

  @Test
  void trustsClockThatWasNeverSet() {
    assertFalse(steps.mayBeSetBack(NOW));
  }

  @Test
  void distrustsClockThatWasSetAheadUntilItWasNotCorrectedForLong() {
    steps.onStep(Duration.ofSeconds(5), NOW);
    assertTrue(steps.mayBeSetBack(NOW.plusSeconds(19)));
    assertFalse(steps.mayBeSetBack(NOW.plusSeconds(20)));
  }

  @Test
  void trustsClockThatWasSetBack() {
    steps.onStep(Duration.ofSeconds(-5), NOW);
    assertFalse(steps.mayBeSetBack(NOW));
  }

  @Test
  void trustsCorrectedClock() {
    steps.onStep(Duration.ofSeconds(-5), NOW);
    steps.onStep(Duration.ofMillis(5_010), NOW.plusSeconds(5));
    assertFalse(steps.mayBeSetBack(NOW.plusSeconds(5)));
    steps.onStep(Duration.ofSeconds(4), NOW.plusSeconds(8));
    steps.onStep(Duration.ofSeconds(-4), NOW.plusSeconds(12));
    assertFalse(steps.mayBeSetBack(NOW.plusSeconds(12)));
  }

  /** Guards against a clock that counts as corrected because it was set back far before. */
  @Test
  void distrustsClockThatWasSetAheadAfterItWasSetBack() {
    steps.onStep(Duration.ofSeconds(-5), NOW);
    steps.onStep(Duration.ofSeconds(3), NOW.plusSeconds(1));
    assertTrue(steps.mayBeSetBack(NOW.plusSeconds(1)));
  }
}
