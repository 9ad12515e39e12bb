package org.teaseldeal.gateway.account;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LogAvailabilityTests {
  private static final Instant START = Instant.EPOCH;

  private final LogAvailability log = new LogAvailability(START);

  @BeforeEach
  void load() {
    log.onLoaded();
  }

  /**
   * Guards against callers that are refused because of a supposed outage when the answer of one
   * write is lost: the write is repeated and answered 200 ms later.
   */
  @Test
  void lostAnswerIsNoOutage() {
    log.onReachable(false, after(0));
    log.onReachable(false, after(200));
    assertTrue(log.acceptsClaims());
    log.onReachable(true, after(210));
    assertTrue(log.acceptsClaims());
    assertEquals(START, log.earliestGrant(START));
  }

  @Test
  void isUnavailableAfterCallsHaveFailedForSomeTime() {
    log.onReachable(false, after(0));
    log.onReachable(false, after(600));
    assertFalse(log.acceptsClaims());
    assertEquals(Duration.ofMillis(700), log.outageDuration(after(700)));
    log.onReachable(true, after(800));
    assertTrue(log.acceptsClaims());
    assertEquals(after(800), log.earliestGrant(START));
  }

  private static Instant after(long millis) {
    return START.plusMillis(millis);
  }
}
