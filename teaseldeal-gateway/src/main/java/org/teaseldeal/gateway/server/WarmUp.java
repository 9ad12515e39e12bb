package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;
import java.util.function.Supplier;

/**
 * Whether a backend server is warming up, as its heartbeats say.
 *
 * <p>A server may begin to warm up again at any time, without a restart. Its record changes then,
 * and may otherwise stay the same for as long as the server runs. A server therefore counts as
 * warming up if neither its record nor the list as a whole has been read lately.
 */
final class WarmUp {
  /**
   * Longer than the outages of the list that fleets serve through: with all servers limited, each
   * instance would reach only a few of them by itself.
   */
  private static final Duration MAX_LIST_AGE = Duration.ofSeconds(12);

  /** How old the state may be that a heartbeat tells when it is read. */
  private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofSeconds(2);

  private final Supplier<Instant> listReadAt;
  private boolean warm;
  private Instant heartbeatAt;
  private Instant ignoreWarmUntil = Instant.MIN;

  /**
   * Creates the state of a server that has just been listed.
   *
   * @param listReadAt supplies when all records of the list up to its end had been read last
   */
  WarmUp(Duration warmUpLeft, Instant now, Supplier<Instant> listReadAt) {
    this.listReadAt = listReadAt;
    this.warm = warmUpLeft.isZero();
    this.heartbeatAt = now;
  }

  void onHeartbeat(Duration warmUpLeft, Instant now) {
    heartbeatAt = now;
    warm = warmUpLeft.isZero() && !now.isBefore(ignoreWarmUntil);
  }

  /** Assumes that the server began to warm up at {@code now}, which it may not have said yet. */
  void assumeFrom(Instant now) {
    warm = false;
    ignoreWarmUntil = now.plus(MAX_HEARTBEAT_DELAY);
  }

  boolean isWarmingUp(Instant now) {
    return !warm || (isOld(heartbeatAt, now) && isOld(listReadAt.get(), now));
  }

  private static boolean isOld(Instant readAt, Instant now) {
    return readAt.isBefore(now.minus(MAX_LIST_AGE));
  }
}
