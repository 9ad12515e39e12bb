package org.teaseldeal.gateway.plan;

import org.teaseldeal.api.Preconditions;

/**
 * What the operator says of a service.
 *
 * @param maxConnections that one of its backend servers takes from all callers together
 * @param tokensPerEvent output tokens in one event of a stream, at most; 0 for a plain service
 */
public record PlannedService(String name, int maxConnections, int tokensPerEvent) {
  public PlannedService {
    Preconditions.requireText(name, "service name");
    Preconditions.requirePositive(maxConnections, "max connections of service " + name);
    Preconditions.requireNotNegative(tokensPerEvent, "tokens per event of service " + name);
  }
}
