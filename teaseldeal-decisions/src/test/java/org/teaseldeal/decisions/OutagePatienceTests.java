package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class OutagePatienceTests {
  @Test
  void letsARequestWaitThatOutlastsTheOutage() {
    assertEquals(Optional.empty(), comeBack(7_000, 3_200, 15_000));
  }

  @Test
  void sendsACallerAwayUntilTheOutageIsLikelyToBeOver() {
    assertEquals(Optional.of(Duration.ofMillis(4_000)), comeBack(5_000, 3_200, 15_000));
  }

  @Test
  void namesNoLaterTimeThanTheCallerHeeds() {
    assertEquals(Optional.of(Duration.ofMillis(1_000)), comeBack(1_000, 2_400, 3_000));
  }

  @Test
  void expectsALongOutageToEndAtAnyMoment() {
    assertEquals(Optional.of(Duration.ofMillis(200)), comeBack(60_000, 600, 600));
  }

  private static Optional<Duration> comeBack(long outage, long patience, long deadline) {
    return OutagePatience.comeBack(
        Duration.ofMillis(outage), Duration.ofMillis(patience), Duration.ofMillis(deadline));
  }
}
