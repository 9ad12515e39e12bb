package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;

/**
 * Whether a backend server is warming up, as its heartbeats say.
 *
 * <p>A server may begin to warm up again at any time, without a restart. A server that has not been
 * heard of lately therefore counts as warming up.
 */
final class WarmUp {
  /**
   * Longer than the outages of the list that fleets serve through: with all servers limited, each
   * instance would reach only a few of them by itself.
   */
  private static final Duration MAX_HEARTBEAT_AGE = Duration.ofSeconds(12);

  /** How old the state may be that a heartbeat tells when it is read. */
  private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofSeconds(2);

  private boolean warm;
  private Instant heartbeatExpiresAt;
  private Instant ignoreWarmUntil = Instant.MIN;

  WarmUp(Duration warmUpLeft, Instant now) {
    this.warm = warmUpLeft.isZero();
    this.heartbeatExpiresAt = now.plus(MAX_HEARTBEAT_AGE);
  }

  void onHeartbeat(Duration warmUpLeft, Instant now) {
    heartbeatExpiresAt = now.plus(MAX_HEARTBEAT_AGE);
    warm = warmUpLeft.isZero() && !now.isBefore(ignoreWarmUntil);
  }

  /** Assumes that the server began to warm up at {@code now}, which it may not have said yet. */
  void assumeFrom(Instant now) {
    warm = false;
    ignoreWarmUntil = now.plus(MAX_HEARTBEAT_DELAY);
  }

  boolean isWarmingUp(Instant now) {
    return !warm || now.isAfter(heartbeatExpiresAt);
  }
}
