package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PromptReadingTests {
  @Test
  void isNotCompleteBeforeTheFastestEngineIsDone() {
    assertFalse(PromptReading.mayBeDone(6_000, Duration.ofMillis(3)));
    assertFalse(PromptReading.mayBeDone(6_000, Duration.ofMillis(59)));
  }

  @Test
  void mayBeCompleteOnceTheFastestEngineWouldBeDone() {
    assertTrue(PromptReading.mayBeDone(6_000, Duration.ofMillis(60)));
    assertTrue(PromptReading.mayBeDone(0, Duration.ZERO));
  }
}
