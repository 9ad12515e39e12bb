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
 * @param warmUpRequestsPerSecond number of requests in a second that one of its backend servers
 *     tolerates while it warms up; 0 if it needs no limit
 * @param healthPath path at which its backend servers answer whether they are healthy
 * @param memoryTokens number of tokens that the memory of one of its engines holds; 0 if unknown
 */
public record PlannedService(
    String name,
    int maxConnections,
    int tokensPerEvent,
    double warmUpRequestsPerSecond,
    String healthPath,
    long memoryTokens) {
  /** The health path of a service for which the operator gives none. */
  public static final String DEFAULT_HEALTH_PATH = "/health";

  public PlannedService {
    Preconditions.requireText(healthPath, "health path of service " + name);
    Preconditions.requireText(name, "service name");
    Preconditions.requirePositive(maxConnections, "max connections of service " + name);
    Preconditions.require(
        warmUpRequestsPerSecond >= 0,
        "warm-up requests per second of service %s were %s, expected 0 or more"
            .formatted(name, warmUpRequestsPerSecond));
    Preconditions.requireNotNegative(tokensPerEvent, "tokens per event of service " + name);
    Preconditions.requireNotNegative(memoryTokens, "memory tokens of service " + name);
  }

  /** Creates a service with the default health path, whose servers need no limit. */
  public PlannedService(String name, int maxConnections, int tokensPerEvent) {
    this(name, maxConnections, tokensPerEvent, 0, DEFAULT_HEALTH_PATH, 0);
  }
}
