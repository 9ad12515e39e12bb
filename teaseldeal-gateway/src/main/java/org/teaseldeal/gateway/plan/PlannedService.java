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
 * @param healthPath path at which its backend servers answer whether they are healthy
 */
public record PlannedService(
    String name, int maxConnections, int tokensPerEvent, String healthPath) {
  /** The health path of a service for which the operator gives none. */
  public static final String DEFAULT_HEALTH_PATH = "/health";

  public PlannedService {
    Preconditions.requireText(healthPath, "health path of service " + name);
    Preconditions.requireText(name, "service name");
    Preconditions.requirePositive(maxConnections, "max connections of service " + name);
    Preconditions.requireNotNegative(tokensPerEvent, "tokens per event of service " + name);
  }

  /** Creates a service with the default health path. */
  public PlannedService(String name, int maxConnections, int tokensPerEvent) {
    this(name, maxConnections, tokensPerEvent, DEFAULT_HEALTH_PATH);
  }
}
