package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class PrepaidLeaseTests {
  @Test
  void coversTheDemandOfACut() {
    long target = new PrepaidLease(4_000_000, 4_000_000, 7).target(20_000, 12_000);
    assertTrue(
        target >= 9 * 20_000,
        "the target was %d, expected nine seconds of demand".formatted(target));
  }

  @Test
  void leavesAPartOfThePoolToTheOthers() {
    long target = new PrepaidLease(4_000_000, 70_000, 7).target(20_000, 12_000);
    assertTrue(7 * target <= 70_000, "7 instances would keep %d of 70000".formatted(7 * target));
  }

  @Test
  void keepsLittleForACustomerWithoutRequests() {
    assertEquals(80_000, new PrepaidLease(4_000_000, 4_000_000, 7).target(0, 0));
  }

  @Test
  void releasesAPartAtOnceAndAllWhenNoNoteCanBeWritten() {
    assertEquals(300, LeaseRelease.released(1_000, Duration.ZERO));
    assertEquals(300, LeaseRelease.released(1_000, Duration.ofMillis(2_400)));
    assertEquals(1_000, LeaseRelease.released(1_000, Duration.ofMillis(2_500)));
  }
}
