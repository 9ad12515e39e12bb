package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PrepaidLeaseTests {
  @Test
  void coversTheDemandOfACut() {
    long target = new PrepaidLease(4_000_000, 4_000_000, 7).target(20_000, 140_000, 12_000);
    assertTrue(
        target >= 9 * 20_000,
        "the target was %d, expected nine seconds of demand".formatted(target));
  }

  @Test
  void leavesAPartOfThePoolToTheOthers() {
    long target = new PrepaidLease(4_000_000, 70_000, 7).target(20_000, 140_000, 12_000);
    assertTrue(7 * target <= 70_000, "7 instances would keep %d of 70000".formatted(7 * target));
  }

  @Test
  void keepsLittleForACustomerWithoutRequests() {
    assertEquals(80_000, new PrepaidLease(4_000_000, 4_000_000, 7).target(0, 0, 0));
  }

  /**
   * Callers at the instance that most of a customer's requests come to are served through a cut.
   * Two of seven instances have all of the demand and little is left; their leases cover it, and
   * the five others hold hardly anything.
   */
  @Test
  void sharesWhatIsLeftByDemand() {
    PrepaidLease lease = new PrepaidLease(4_000_000, 400_000, 7);
    long busy = lease.target(18_000, 36_000, 12_000);
    long quiet = lease.target(0, 36_000, 0);
    assertTrue(busy >= 9 * 16_000, "a busy instance keeps %d".formatted(busy));
    assertTrue(quiet <= 6_000, "a quiet instance keeps %d".formatted(quiet));
  }
}
