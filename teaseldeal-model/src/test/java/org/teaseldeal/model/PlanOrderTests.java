package org.teaseldeal.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class PlanOrderTests {
  private final PlanOrder order = new PlanOrder();

  /** A request that began under a configuration ends under it, also after the next came. */
  @Test
  void allowsAnEarlierRequestToEndLater() {
    assertTrue(order.add(20, 2));
    assertTrue(order.add(10, 1));
  }

  /** Guards against answers that come once by the new configuration and then by the old one. */
  @Test
  void findsARequestThatWentBack() {
    assertTrue(order.add(10, 2));
    assertFalse(order.add(20, 1));
  }

  @Test
  void findsItAlsoWhereTheEarlierOneEndsLater() {
    assertTrue(order.add(20, 1));
    assertFalse(order.add(10, 2));
  }
}
