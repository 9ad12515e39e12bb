package org.teaseldeal.gateway.plan;

import org.teaseldeal.api.Preconditions;

/** A service that gets a share of a route's requests in proportion to its weight. */
public record WeightedService(String service, int weight) {
  public WeightedService {
    Preconditions.requireText(service, "service");
    Preconditions.requireNotNegative(weight, "weight");
  }
}
