package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Test;

class LoopOverloadTests {
  private static final int REQUESTS = 1000;
  private static final Duration TICK = Duration.ofMillis(20);

  private final LoopOverload overload = new LoopOverload(new Random(1));
  private Instant now = Instant.EPOCH;

  /** Callers of an instance that gets most of the load waited until their deadlines. */
  @Test
  void shedsMostRequestsWhileTheLoopLags() {
    for (int i = 0; i < 10; i++) {
      tick(Duration.ofMillis(200));
    }
    assertTrue(shed() > REQUESTS / 2);
  }

  @Test
  void shedsNothingAfterASingleLongStall() {
    tick(Duration.ofSeconds(4));
    assertEquals(0, shed());
  }

  @Test
  void shedsNothingWhileDelaysAreShort() {
    for (int i = 0; i < 100; i++) {
      tick(Duration.ofMillis(30));
    }
    assertEquals(0, shed());
  }

  @Test
  void takesAllRequestsAgainOnceTheLoopKeepsUp() {
    for (int i = 0; i < 10; i++) {
      tick(Duration.ofMillis(200));
    }
    for (int i = 0; i < 60; i++) {
      tick(Duration.ZERO);
    }
    assertEquals(0, shed());
  }

  /** Were all requests shed, nothing would show that the loop keeps up again. */
  @Test
  void keepsAPartOfTheRequestsUnderAnyLoad() {
    for (int i = 0; i < 30; i++) {
      tick(Duration.ofSeconds(1));
    }
    assertTrue(shed() < REQUESTS);
  }

  private void tick(Duration late) {
    now = now.plus(TICK).plus(late);
    overload.onTick(late, now);
  }

  private int shed() {
    int shed = 0;
    for (int i = 0; i < REQUESTS; i++) {
      shed += overload.sheds() ? 1 : 0;
    }
    return shed;
  }
}
