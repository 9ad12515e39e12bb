package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether a call goes directly to a service or through another instance that reaches it (a
 * relay).
 *
 * <p>A service may reject some instances for many seconds while it serves the others. The rejected
 * instances would continue with outdated state: leases are used up and callers are refused although
 * the budget has tokens, and settings become stale. Other instances can relay their calls.
 *
 * <p>If no instance reaches the service, or an instance reaches no other, relays don't help, and
 * each call that waits for a relay delays the moment at which the service is found to be available
 * again. Therefore calls go directly for a while after several relays in a row have failed.
 */
public final class RelayChoice {
  /**
   * Interval between direct calls while relays work; it bounds how late the return of the service
   * is noticed.
   */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

  /**
   * How long only direct calls are made after the relays of a round have failed: enough for two or
   * three direct calls at their usual interval.
   */
  private static final Duration RELAY_PAUSE = Duration.ofMillis(800);

  /**
   * Maximum number of relays that fail in a row before calls go directly. If the service serves
   * half of the instances, eight relays in a row fail once in 256 rounds; the next round continues
   * with other relays.
   */
  private static final int MAX_FAILURES_PER_ROUND = 8;

  private boolean directAvailable = true;
  private Instant nextProbe = Instant.MIN;
  private Instant relaysPausedUntil = Instant.MIN;
  private int relayIndex;
  private int consecutiveFailures;

  /**
   * Creates the choice of one instance.
   *
   * @param firstIndex start position in the list of relays; different at each instance, so that not
   *     all instances use the same relay
   */
  public RelayChoice(int firstIndex) {
    this.relayIndex = firstIndex;
  }

  /** Returns the relay of the next call; empty if the call goes directly to the service. */
  public Optional<String> nextRelay(List<String> relays, Instant now) {
    if (directAvailable || relays.isEmpty() || now.isBefore(relaysPausedUntil)) {
      return Optional.empty();
    }
    if (!now.isBefore(nextProbe)) {
      nextProbe = now.plus(PROBE_INTERVAL);
      return Optional.empty();
    }
    return Optional.of(relays.get(Math.floorMod(relayIndex, relays.size())));
  }

  /** Returns whether calls currently go through relays. */
  public boolean relaying() {
    return !directAvailable;
  }

  /** Records the outcome of a direct call. */
  public void onDirectCall(boolean reached, Instant now) {
    if (!reached && directAvailable) {
      nextProbe = now.plus(PROBE_INTERVAL);
    }
    directAvailable = reached;
  }

  /**
   * Records the outcome of a relayed call; after a failure the next relay is used.
   *
   * @param relays number of relays available
   */
  public void onRelayedCall(boolean reached, int relays, Instant now) {
    if (reached) {
      consecutiveFailures = 0;
      return;
    }
    relayIndex++;
    consecutiveFailures++;
    if (consecutiveFailures >= Math.min(relays, MAX_FAILURES_PER_ROUND)) {
      consecutiveFailures = 0;
      relaysPausedUntil = now.plus(RELAY_PAUSE);
    }
  }
}
