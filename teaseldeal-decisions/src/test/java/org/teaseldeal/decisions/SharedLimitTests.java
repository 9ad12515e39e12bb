package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class SharedLimitTests {
  private static int startsBeforeNextReport(int limit, int others, int instances) {
    int own = 0;
    while (new SharedLimit(limit, own, 0, others).hasRoom(100 + own, 1, instances)) {
      own++;
    }
    return own;
  }

  @Test
  void exceedsTheLimitByAtMostOnePerInstanceInABurst() {
    for (int instances = 1; instances <= 27; instances++) {
      int total = instances * startsBeforeNextReport(8, 0, instances);
      assertTrue(total <= 8 + instances, "%d instances started %d".formatted(instances, total));
    }
  }

  @Test
  void allowsASingleInstanceTheWholeLimit() {
    assertEquals(8, startsBeforeNextReport(8, 0, 1));
  }

  @Test
  void allowsReuseOfSlotsHeldAtTheLastReport() {
    assertTrue(new SharedLimit(8, 2, 3, 5).hasRoom(100, 104, 9));
  }

  @Test
  void allowsAnInstanceBelowItsShareToExceedTheLimit() {
    assertTrue(new SharedLimit(8, 0, 0, 8).hasRoom(0, 104, 9));
    assertFalse(new SharedLimit(8, 0, 0, 8).hasRoom(11, 104, 9));
    assertFalse(new SharedLimit(8, 0, 0, 12).hasRoom(0, 104, 9));
  }
}
