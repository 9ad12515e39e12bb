package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class LoopDelayTests {
  private final LoopDelay delay = new LoopDelay();

  @Test
  void isZeroWhileRoundsAreInTime() {
    delay.onRound(Duration.ZERO);
    delay.onRound(Duration.ZERO);
    assertEquals(Duration.ZERO, delay.at(Duration.ZERO));
  }

  /** The requests that were received during a stall are handled before the next round. */
  @Test
  void countsTheTimeThatARoundIsOverdue() {
    delay.onRound(Duration.ZERO);
    assertEquals(Duration.ofMillis(280), delay.at(Duration.ofMillis(280)));
  }

  @Test
  void lastsWhileRoundsStayLate() {
    for (int i = 1; i <= 10; i++) {
      delay.onRound(Duration.ofMillis(60));
    }
    assertTrue(delay.at(Duration.ZERO).compareTo(Duration.ofMillis(60)) >= 0);
  }

  /** Guards against an instance that counts as late long after a single stall. */
  @Test
  void forgetsASingleStallWithinAFewRounds() {
    delay.onRound(Duration.ofMillis(280));
    for (int i = 1; i <= 6; i++) {
      delay.onRound(Duration.ZERO);
    }
    assertTrue(delay.at(Duration.ZERO).compareTo(Duration.ofMillis(5)) < 0);
  }
}
