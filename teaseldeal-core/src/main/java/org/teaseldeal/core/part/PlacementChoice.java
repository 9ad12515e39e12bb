package org.teaseldeal.core.part;

import org.teaseldeal.decisions.PlacementPolicy;

/**
 * The placement policies that an instance's settings file can name. All but the first are baselines
 * for comparison.
 */
public enum PlacementChoice {
  TWO_CHOICES(PlacementPolicy.TWO_CHOICES),
  LEAST_OUTSTANDING(PlacementPolicy.LEAST_OUTSTANDING),
  ROUND_ROBIN(PlacementPolicy.ROUND_ROBIN);

  private final PlacementPolicy policy;

  PlacementChoice(PlacementPolicy policy) {
    this.policy = policy;
  }

  PlacementPolicy policy() {
    return policy;
  }
}
