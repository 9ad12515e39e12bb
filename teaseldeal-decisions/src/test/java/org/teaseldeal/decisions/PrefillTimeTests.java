package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PrefillTimeTests {
  @Test
  void isNotCompleteBeforeTheFastestEngineIsDone() {
    assertFalse(PrefillTime.mayBeComplete(6_000, Duration.ofMillis(3)));
    assertFalse(PrefillTime.mayBeComplete(6_000, Duration.ofMillis(59)));
  }

  @Test
  void mayBeCompleteOnceTheFastestEngineWouldBeDone() {
    assertTrue(PrefillTime.mayBeComplete(6_000, Duration.ofMillis(60)));
    assertTrue(PrefillTime.mayBeComplete(0, Duration.ZERO));
  }
}
