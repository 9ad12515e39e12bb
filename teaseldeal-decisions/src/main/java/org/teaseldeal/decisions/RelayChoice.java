package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;

/**
 * Whether a call goes straight to a service or by another instance that reaches it.
 *
 * <p>Load pattern: the service turns some instances away for many seconds and serves the others.
 * Those turned away go on with what they last knew: leases run dry and their callers are refused
 * although the budget has tokens, and settings grow stale. Another instance can make their calls.
 *
 * <p>Load pattern: nobody reaches the service, or an instance reaches nobody. Relays help nothing
 * then, and each call that waits for one delays the moment in which the service is found to be
 * back. So once some relays have failed in turn, calls go straight for a while.
 */
public final class RelayChoice {
  /** How often a call is made directly while relays work: how late its return is noticed. */
  private static final Duration PROBE_EVERY = Duration.ofMillis(500);

  /** Direct calls only, after all relays failed: two or three of them, at their usual pauses. */
  private static final Duration RELAYS_REST = Duration.ofMillis(800);

  /**
   * Relays that fail in turn before calls go straight. Where the service serves half of the
   * instances, eight in a row fail once in 256 times; the next round goes on with others.
   */
  private static final int MOST_IN_A_ROUND = 8;

  private boolean directWorks = true;
  private Instant nextProbe = Instant.MIN;
  private Instant relaysRestUntil = Instant.MIN;
  private int turn;
  private int failedInTurn;

  /**
   * Creates a choice.
   *
   * @param firstTurn different at each instance, so that not all take the same relay
   */
  public RelayChoice(int firstTurn) {
    this.turn = firstTurn;
  }

  /** The relay of the next call; empty if it goes straight to the service. */
  public Optional<String> next(List<String> relays, Instant now) {
    if (directWorks || relays.isEmpty() || now.isBefore(relaysRestUntil)) {
      return Optional.empty();
    }
    if (!now.isBefore(nextProbe)) {
      nextProbe = now.plus(PROBE_EVERY);
      return Optional.empty();
    }
    return Optional.of(relays.get(Math.floorMod(turn, relays.size())));
  }

  /** Whether calls go by relays now. */
  public boolean relaying() {
    return !directWorks;
  }

  /** Takes note of what became of a direct call. */
  public void onDirect(boolean reached, Instant now) {
    if (!reached && directWorks) {
      nextProbe = now.plus(PROBE_EVERY);
    }
    directWorks = reached;
  }

  /**
   * Takes note of what became of a relayed call; after a failure the next relay has its turn.
   *
   * @param relays how many there are
   */
  public void onRelayed(boolean reached, int relays, Instant now) {
    if (reached) {
      failedInTurn = 0;
      return;
    }
    turn++;
    failedInTurn++;
    if (failedInTurn >= Math.min(relays, MOST_IN_A_ROUND)) {
      failedInTurn = 0;
      relaysRestUntil = now.plus(RELAYS_REST);
    }
  }
}
