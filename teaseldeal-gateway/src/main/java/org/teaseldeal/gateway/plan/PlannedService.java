package org.teaseldeal.gateway.plan;

import org.teaseldeal.api.Preconditions;

/**
 * A service as configured by the operator.
 *
 * @param name name of the service
 * @param maxConnections maximum number of connections of all callers together to one of its backend
 *     servers
 * @param tokensPerEvent maximum number of output tokens in one event of a stream; 0 for a service
 *     without streams
 */
public record PlannedService(String name, int maxConnections, int tokensPerEvent) {
  public PlannedService {
    Preconditions.requireText(name, "service name");
    Preconditions.requirePositive(maxConnections, "max connections of service " + name);
    Preconditions.requireNotNegative(tokensPerEvent, "tokens per event of service " + name);
  }
}
