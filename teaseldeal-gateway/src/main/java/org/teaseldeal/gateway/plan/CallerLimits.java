package org.teaseldeal.gateway.plan;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Limits on the size and the duration of a caller's requests.
 *
 * @param maxHeaderBytes maximum size of a request's head
 * @param maxBodyBytes maximum size of a request's body
 * @param headTimeout longest time until the head has arrived
 * @param idleTimeout longest time for which a connection may stay idle
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headTimeout, Duration idleTimeout) {
  public CallerLimits {
    Preconditions.requirePositive(maxHeaderBytes, "max header bytes");
    Preconditions.requirePositive(maxBodyBytes, "max body bytes");
    Preconditions.requirePositive(headTimeout.toMillis(), "head timeout");
    Preconditions.requirePositive(idleTimeout.toMillis(), "idle timeout");
  }

  /** Returns the limits used until the operator's limits are known. */
  public static CallerLimits untilPublished() {
    return new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
