package org.teaseldeal.gateway.account;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.teaseldeal.api.TokenCounts;
import org.teaseldeal.gateway.log.SharedNote;

/** The newest notes of other instances about one customer's total, and their sums. */
final class PeerAccounts {
  private final Map<String, SharedNote.Account> byInstance = new HashMap<>();
  private final Set<String> unknownInstances = new HashSet<>();
  private long taken;
  private long writtenOff;
  private long idle;
  private long inUse;
  private long shortfall;
  private long tokensPerSecond;

  void update(SharedNote.Account note) {
    unknownInstances.remove(note.instance());
    SharedNote.Account previous = byInstance.put(note.instance(), note);
    if (previous != null) {
      add(previous, -1);
    }
    add(note, 1);
  }

  /**
   * Takes into account that an instance's newest note can't be read. The note before it, which may
   * have raised the number of held tokens, was never read here. If the instance counted as holding
   * nothing, or as much as before, the same tokens would be given out twice.
   *
   * <p>If the note still says what the instance had taken at most, all of that counts as lost until
   * the instance's next note. Otherwise its holdings are unknown. An instance that finds its own
   * note unreadable writes it again immediately.
   */
  void onUnreadable(SharedNote.UnreadableAccount note) {
    SharedNote.Account previous = byInstance.get(note.instance());
    if (note.taken().isEmpty()) {
      unknownInstances.add(note.instance());
    } else {
      long known = previous == null ? 0 : previous.taken();
      update(note.writtenOff(Math.max(known, note.taken().getAsLong())));
    }
  }

  /**
   * Returns whether the holdings of all other instances are known, so that the remainder may be
   * given out.
   */
  boolean allKnown() {
    return unknownInstances.isEmpty();
  }

  /** Returns the tokens that other instances have spent, lost, hold or claim. */
  long taken() {
    return taken;
  }

  /** Returns the tokens that were written off because the process that held them ended. */
  long writtenOff() {
    return writtenOff;
  }

  /** Returns the idle tokens that other instances hold, not reserved for any request. */
  long idle() {
    return idle;
  }

  /** Returns the idle tokens of each other instance. */
  Map<String, Long> idleByInstance() {
    Map<String, Long> idles = new HashMap<>();
    byInstance.forEach((instance, note) -> idles.put(instance, note.idle()));
    return idles;
  }

  /** Returns the tokens that are spent or reserved for requests at other instances. */
  long inUse() {
    return inUse;
  }

  /**
   * Returns the tokens that waiting requests at other instances lack beyond those already claimed.
   */
  long shortfall() {
    return shortfall;
  }

  /** Returns the rate at which requests at other instances reserve tokens, in tokens per second. */
  long tokensPerSecond() {
    return tokensPerSecond;
  }

  private void add(SharedNote.Account note, int sign) {
    taken += sign * clamped(note.spent(), note.writtenOff(), note.held(), note.claimed());
    writtenOff += sign * clamped(note.writtenOff());
    idle += sign * clamped(note.idle());
    inUse += sign * (clamped(note.spent(), note.held()) - clamped(note.idle()));
    shortfall += sign * clamped(Math.max(0, note.shortfall() - note.claimed()));
    tokensPerSecond += sign * clamped(note.tokensPerSecond());
  }

  /**
   * Limits the sum to a value above any real total that is still small enough for the sum over a
   * fleet not to overflow.
   */
  private static long clamped(long... counts) {
    return Math.min(TokenCounts.MAX_TOTAL, SaturatingSum.of(counts));
  }
}
