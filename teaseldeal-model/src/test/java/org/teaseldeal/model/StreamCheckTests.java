package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests of what the model reports about streams. */
class StreamCheckTests {
  private final StreamCheck check = new StreamCheck();

  private void record(int begun, int takenUp, int wentOn) {
    for (int i = 0; i < begun; i++) {
      check.onBegun(true);
    }
    for (int i = 0; i < takenUp; i++) {
      check.onTakenUp(i < wentOn);
    }
  }

  @Test
  void reportsMoreThanTwoMixedStreams() {
    check.onStreamEnded(1, Set.of("v1"));
    check.onStreamEnded(2, Set.of("v1", "v2"));
    check.onStreamEnded(3, Set.of("v1", "v2"));
    assertEquals(0, check.violations().size());
    check.onStreamEnded(4, Set.of("v1", "v2"));
    assertEquals(1, check.violations().size());
  }

  @Test
  void reportsIfFewerThanHalfOfTheStreamsTakenUpGoOn() {
    record(100, 12, 5);
    assertEquals(1, check.violations().size());
  }

  @Test
  void allowsIfHalfGoOnOrFewAreTakenUp() {
    record(100, 12, 6);
    assertEquals(0, check.violations().size());
  }

  @Test
  void judgesNoFewStreams() {
    record(100, 11, 0);
    assertEquals(0, check.violations().size());
  }
}
