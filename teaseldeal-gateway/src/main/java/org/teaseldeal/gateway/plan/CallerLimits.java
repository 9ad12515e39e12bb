package org.teaseldeal.gateway.plan;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/** What a caller may send, and how long it may take or stay idle. */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, Duration headTimeout, Duration idleTimeout) {
  public CallerLimits {
    Preconditions.requirePositive(maxHeaderBytes, "max header bytes");
    Preconditions.requirePositive(maxBodyBytes, "max body bytes");
    Preconditions.requirePositive(headTimeout.toMillis(), "head timeout");
    Preconditions.requirePositive(idleTimeout.toMillis(), "idle timeout");
  }

  /** Limits until the operator's are known. */
  public static CallerLimits untilPublished() {
    return new CallerLimits(16_384, 4 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
  }
}
