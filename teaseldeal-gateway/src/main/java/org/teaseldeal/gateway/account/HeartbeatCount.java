package org.teaseldeal.gateway.account;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Total number of heartbeats received from all listed backend servers.
 *
 * <p>The count serves as a rough clock that keeps running while this machine has no power.
 *
 * @param count number of heartbeats received so far
 * @param perSecond current rate of heartbeats per second, greater than 0
 */
public record HeartbeatCount(long count, double perSecond) {
  public HeartbeatCount {
    Preconditions.requireNotNegative(count, "heartbeat count");
    Preconditions.require(
        perSecond > 0, "heartbeats per second were %s, expected more than 0".formatted(perSecond));
  }

  /** Returns the approximate time that has passed since the count was {@code earlier}. */
  Duration since(long earlier) {
    return Duration.ofMillis((long) ((count - earlier) * 1000.0 / perSecond));
  }
}
