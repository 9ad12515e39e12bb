package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PrepaidLeaseTests {
  @Test
  void coversTheDemandOfAPartition() {
    long target = new PrepaidLease(4_000_000, 4_000_000, 7).target(20_000, 140_000, 12_000);
    assertTrue(
        target >= 9 * 20_000,
        "the target was %d, expected nine seconds of demand".formatted(target));
  }

  @Test
  void leavesPartOfTheUnreservedTokensUnassigned() {
    long target = new PrepaidLease(4_000_000, 70_000, 7).target(20_000, 140_000, 12_000);
    assertTrue(7 * target <= 70_000, "7 instances would keep %d of 70000".formatted(7 * target));
  }

  @Test
  void keepsFewTokensForACustomerWithoutRequests() {
    assertEquals(80_000, new PrepaidLease(4_000_000, 4_000_000, 7).target(0, 0, 0));
  }

  /**
   * Guards against refused callers at the instances that get most of a customer's requests, during
   * a network partition. Two of seven instances have all of the demand and few tokens remain; their
   * leases have to cover the demand, and the five others hold few tokens.
   */
  @Test
  void sharesTheRemainingTokensByDemand() {
    PrepaidLease lease = new PrepaidLease(4_000_000, 400_000, 7);
    long busy = lease.target(18_000, 36_000, 12_000);
    long quiet = lease.target(0, 36_000, 0);
    assertTrue(busy >= 9 * 16_000, "a busy instance keeps %d".formatted(busy));
    assertTrue(quiet <= 6_000, "a quiet instance keeps %d".formatted(quiet));
  }
}
