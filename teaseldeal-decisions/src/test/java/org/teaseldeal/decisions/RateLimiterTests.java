package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RateLimiterTests {
  private static final Instant START = Instant.EPOCH.plusSeconds(1_000);

  private static int taken(RateLimiter limiter, Instant from, Duration length, Duration step) {
    int count = 0;
    for (Instant now = from; now.isBefore(from.plus(length)); now = now.plus(step)) {
      if (limiter.hasPermit(now)) {
        limiter.take(now);
        count++;
      }
    }
    return count;
  }

  @ParameterizedTest
  @ValueSource(doubles = {0.1, 0.5, 1, 2.5, 10})
  void reachesItsRateThoughPermitsAreTakenLate(double rate) {
    RateLimiter limiter = new RateLimiter(rate, 1, START);
    int count = taken(limiter, START, Duration.ofSeconds(100), Duration.ofMillis(70));
    assertEquals(100 * rate, count, Math.max(1.5, 2 * rate));
  }

  /** Guards against permits that are saved up while none is taken and then taken at once. */
  @Test
  void savesUpNoPermits() {
    RateLimiter limiter = new RateLimiter(1, 1, START);
    Instant later = START.plusSeconds(60);
    assertEquals(2, taken(limiter, later, Duration.ofSeconds(1), Duration.ofMillis(10)));
  }

  @Test
  void changesWhatIsLeftOfAnIntervalInProportion() {
    RateLimiter limiter = new RateLimiter(0.1, 1, START);
    limiter.setRate(1, START);
    assertFalse(limiter.hasPermit(START.plusMillis(700)));
    assertTrue(limiter.hasPermit(START.plusMillis(760)));
  }

  @Test
  void returnsPermitsThatWereNotUsed() {
    RateLimiter limiter = new RateLimiter(1, 0, START);
    limiter.take(START);
    assertFalse(limiter.hasPermit(START.plusMillis(20)));
    limiter.giveBack();
    assertTrue(limiter.hasPermit(START.plusMillis(20)));
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, -1, Double.NaN})
  void rejectsRatesThatAreNotPositive(double rate) {
    assertThrows(IllegalArgumentException.class, () -> new RateLimiter(rate, 1, START));
  }
}
