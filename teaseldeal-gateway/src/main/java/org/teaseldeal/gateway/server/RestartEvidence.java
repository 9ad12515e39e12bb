package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * Evidence that a backend server may have been restarted since its last heartbeat.
 *
 * <p>A server that restarts under its id may run other software before the list shows it. When a
 * process ends, all connections to it end at once, and new ones are refused for a while. A single
 * answer that breaks off, or never begins, says nothing about its process.
 */
final class RestartEvidence {
  /** How far apart the connections of a process that ends are seen to end. */
  private static final Duration SAME_TIME = Duration.ofMillis(100);

  /** How long a heartbeat is on its way. One that arrives sooner may be of the process before. */
  private static final Duration MAX_HEARTBEAT_DELAY = Duration.ofMillis(500);

  private static final int LOSSES_OF_AN_ENDED_PROCESS = 2;

  private @Nullable Instant firstLossAt;
  private int losses;

  boolean mayHaveRestarted() {
    return losses >= LOSSES_OF_AN_ENDED_PROCESS;
  }

  /** Records that a connection could not be opened. */
  void onConnectFailed(Instant now) {
    firstLossAt = now;
    losses = LOSSES_OF_AN_ENDED_PROCESS;
  }

  /** Records that a connection on which a request was sent at {@code sentAt} ended early. */
  void onConnectionLost(Instant sentAt, Instant now) {
    Instant first = firstLossAt;
    if (first == null || sentAt.isAfter(first) || now.isAfter(first.plus(SAME_TIME))) {
      if (!mayHaveRestarted()) {
        firstLossAt = now;
        losses = 1;
      }
      return;
    }
    losses++;
  }

  /** Records that something arrived in answer to a request that was sent at {@code sentAt}. */
  void onReceived(Instant sentAt, Instant now) {
    Instant first = firstLossAt;
    if (first != null && sentAt.isBefore(first) && now.isAfter(first.plus(SAME_TIME))) {
      clear();
    }
  }

  void onHeartbeat(Instant now) {
    Instant first = firstLossAt;
    if (first != null && !now.isBefore(first.plus(MAX_HEARTBEAT_DELAY))) {
      clear();
    }
  }

  private void clear() {
    firstLossAt = null;
    losses = 0;
  }
}
