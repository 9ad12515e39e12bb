package org.teaseldeal.gateway.account;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.teaseldeal.gateway.log.SharedNote;

/** What other instances have said of their parts of one customer's total, and its sums. */
final class OthersNotes {
  private final Map<String, SharedNote.Account> byInstance = new HashMap<>();
  private long taken;
  private long lost;
  private long idle;
  private long inUse;
  private long lacking;
  private long tokensPerSecond;

  void forget() {
    byInstance.clear();
    addUp();
  }

  void hear(SharedNote.Account note) {
    byInstance.put(note.instance(), note);
    addUp();
  }

  /** Tokens that can't be given to this instance. */
  long taken() {
    return taken;
  }

  /** Tokens that were held by processes that ended. */
  long lost() {
    return lost;
  }

  /** Tokens at hand that no request has. */
  long idle() {
    return idle;
  }

  /** Tokens that are spent, or that requests have. */
  long inUse() {
    return inUse;
  }

  /** Tokens that waiting requests lack beyond what was asked for. */
  long lacking() {
    return lacking;
  }

  /** The rate at which requests set tokens aside. */
  long tokensPerSecond() {
    return tokensPerSecond;
  }

  private void addUp() {
    taken = sum(SharedNote.Account::taken);
    lost = sum(SharedNote.Account::lost);
    idle = sum(SharedNote.Account::idle);
    inUse = sum(note -> note.spent() + note.held() - note.idle());
    lacking = sum(note -> Math.max(0, note.wanted() - note.asked()));
    tokensPerSecond = sum(SharedNote.Account::tokensPerSecond);
  }

  private long sum(ToLongFunction<SharedNote.Account> part) {
    long sum = 0;
    for (SharedNote.Account note : byInstance.values()) {
      sum += part.applyAsLong(note);
    }
    return sum;
  }
}
