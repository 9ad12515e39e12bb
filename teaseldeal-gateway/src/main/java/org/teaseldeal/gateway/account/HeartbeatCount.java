package org.teaseldeal.gateway.account;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Heartbeats of all backend servers on their list: a rough clock outside this machine, which goes
 * on while the machine has no power.
 *
 * @param count of all so far
 * @param perSecond at which they come now
 */
public record HeartbeatCount(long count, double perSecond) {
  public HeartbeatCount {
    Preconditions.requireNotNegative(count, "heartbeat count");
    Preconditions.require(
        perSecond > 0, "heartbeats per second were %s, expected more than 0".formatted(perSecond));
  }

  /** About how long ago the count was {@code earlier}. */
  Duration since(long earlier) {
    return Duration.ofMillis((long) ((count - earlier) * 1000.0 / perSecond));
  }
}
