package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PlanOrderCheckTests {
  private final PlanOrderCheck order = new PlanOrderCheck();

  /** A request that started under a plan ends under it, even after the next plan is in force. */
  @Test
  void allowsAnEarlierRequestToEndLaterUnderItsOwnPlan() {
    assertTrue(order.add(20, 2));
    assertTrue(order.add(10, 1));
  }

  /** Guards against instances that answer by a new plan and afterwards by the old one again. */
  @Test
  void rejectsALaterRequestUnderAnEarlierPlan() {
    assertTrue(order.add(10, 2));
    assertFalse(order.add(20, 1));
  }

  @Test
  void rejectsAnEarlierRequestUnderALaterPlan() {
    assertTrue(order.add(20, 1));
    assertFalse(order.add(10, 2));
  }
}
