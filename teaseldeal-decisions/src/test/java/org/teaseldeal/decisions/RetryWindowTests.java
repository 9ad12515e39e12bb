package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class RetryWindowTests {
  private static final Instant START = Instant.EPOCH.plusSeconds(1000);

  private final RetryWindow window = new RetryWindow(0.2, 54, Duration.ofSeconds(10));

  @Test
  void allowsAnInstanceItsPartOfTheReserve() {
    assertEquals(6, retries(START, 7));
  }

  @Test
  void allowsAShareOfTheRequestsInTheWindow() {
    for (int i = 0; i < 100; i++) {
      window.onFirstAttempt(START);
    }
    assertEquals(24, retries(START, 7));
  }

  @Test
  void dropsRetriesThatHaveLeftTheWindow() {
    int first = retries(START, 7);
    assertEquals(0, retries(START.plusSeconds(5), 7));
    assertEquals(first, retries(START.plusSeconds(12), 7));
  }

  @Test
  void grantsAReturnedRetryAgain() {
    retries(START, 7);
    window.returnRetry(START);
    assertEquals(1, retries(START.plusSeconds(5), 7));
  }

  /** Guards against more retries than allowed, if one is returned after it has left the window. */
  @Test
  void forgetsRetriesThatAreReturnedAfterTheWindow() {
    retries(START, 7);
    int again = retries(START.plusSeconds(12), 7);
    window.returnRetry(START);
    assertEquals(6, again);
    assertEquals(0, retries(START.plusSeconds(12), 7));
  }

  private int retries(Instant now, int instances) {
    int granted = 0;
    while (window.tryRetry(now, instances)) {
      granted++;
    }
    return granted;
  }
}
