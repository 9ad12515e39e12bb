package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OutageRetryPolicyTests {
  @Test
  void waitsIfTheOutageEndsBeforeTheCallerTimeout() {
    assertEquals(Optional.empty(), retryAfter(7_000, 3_200, 15_000));
  }

  @Test
  void retriesWhenTheOutageIsLikelyToBeOver() {
    assertEquals(Optional.of(Duration.ofMillis(4_000)), retryAfter(5_000, 3_200, 15_000));
  }

  @Test
  void limitsTheRetryDelayToWhatCallersRespect() {
    assertEquals(Optional.of(Duration.ofMillis(1_000)), retryAfter(1_000, 2_400, 3_000));
  }

  @Test
  void expectsALongOutageToEndSoon() {
    assertEquals(Optional.of(Duration.ofMillis(200)), retryAfter(60_000, 600, 600));
  }

  private static Optional<Duration> retryAfter(long outage, long callerTimeout, long deadline) {
    return OutageRetryPolicy.retryAfter(
        Duration.ofMillis(outage), Duration.ofMillis(callerTimeout), Duration.ofMillis(deadline));
  }
}
