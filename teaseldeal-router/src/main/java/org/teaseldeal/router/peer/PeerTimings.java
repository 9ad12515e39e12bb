package org.teaseldeal.router.peer;

import java.time.Duration;

/**
 * The timeouts and intervals of connections between instances.
 *
 * @param probeInterval the time between two probes that a sender sends on a connection
 * @param silenceTimeout how long nothing may be received on a connection before it is closed
 * @param firstBackoff the back-off after the first failure to connect, which is doubled on each
 *     further failure
 * @param maxBackoff the longest back-off
 * @param idleTimeout how long a connection is kept open without a message to send
 */
public record PeerTimings(
    Duration probeInterval,
    Duration silenceTimeout,
    Duration firstBackoff,
    Duration maxBackoff,
    Duration idleTimeout) {
  /**
   * Returns the timings for production.
   *
   * <p>A silent connection is detected well within the three seconds after which an instance
   * considers its peer gone, so that a broken connection alone doesn't make a peer appear to be
   * gone.
   */
  public static PeerTimings standard() {
    return new PeerTimings(
        Duration.ofMillis(500),
        Duration.ofMillis(1500),
        Duration.ofMillis(50),
        Duration.ofSeconds(1),
        Duration.ofMinutes(1));
  }
}
