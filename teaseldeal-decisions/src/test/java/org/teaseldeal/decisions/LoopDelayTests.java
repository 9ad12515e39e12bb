package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class LoopDelayTests {
  private static final Duration INTERVAL = Duration.ofMillis(20);

  private final LoopDelay delay = new LoopDelay(INTERVAL, Instant.EPOCH);

  private static Instant at(long millis) {
    return Instant.EPOCH.plusMillis(millis);
  }

  @Test
  void isZeroWhileTicksAreInTime() {
    delay.onTick(at(20));
    delay.onTick(at(40));
    assertEquals(Duration.ZERO, delay.at(at(55)));
  }

  /** The requests that were received during a stall are handled before the next tick. */
  @Test
  void countsTheTimeThatATickIsOverdue() {
    delay.onTick(at(20));
    assertEquals(Duration.ofMillis(280), delay.at(at(320)));
  }

  @Test
  void lastsWhileTicksStayLate() {
    for (int i = 1; i <= 10; i++) {
      delay.onTick(at(i * 80L));
    }
    assertTrue(delay.at(at(800)).compareTo(Duration.ofMillis(60)) >= 0);
  }

  /** Guards against an instance that counts as late long after a single stall. */
  @Test
  void forgetsASingleStallWithinAFewTicks() {
    delay.onTick(at(300));
    for (int i = 1; i <= 6; i++) {
      delay.onTick(at(300 + i * 20L));
    }
    assertTrue(delay.at(at(420)).compareTo(Duration.ofMillis(5)) < 0);
  }
}
