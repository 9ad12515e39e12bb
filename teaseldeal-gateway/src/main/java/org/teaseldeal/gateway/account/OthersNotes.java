package org.teaseldeal.gateway.account;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.teaseldeal.gateway.log.SharedNote;

/** What other instances have said of their parts of one customer's total, and its sums. */
final class OthersNotes {
  private static final long MOST_OF_A_NOTE = Long.MAX_VALUE >> 16;

  private final Map<String, SharedNote.Account> byInstance = new HashMap<>();
  private final Set<String> unknown = new HashSet<>();
  private long taken;
  private long lost;
  private long idle;
  private long inUse;
  private long lacking;
  private long tokensPerSecond;

  void hear(SharedNote.Account note) {
    unknown.remove(note.instance());
    SharedNote.Account before = byInstance.put(note.instance(), note);
    if (before != null) {
      add(before, -1);
    }
    add(note, 1);
  }

  /**
   * Takes note that what an instance holds isn't known.
   *
   * <p>Failure: its newest note was overwritten, and the one before it, which may have raised what
   * it holds, was never read here. Symptom, if that counted as nothing or as before: the same
   * tokens are given out twice. An instance that finds its note overwritten writes it anew at once.
   */
  void doubt(String instance) {
    unknown.add(instance);
  }

  /** Whether what all others hold is known, so that the rest may be given out. */
  boolean known() {
    return unknown.isEmpty();
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

  /** The same by instance. */
  Map<String, Long> idleByInstance() {
    Map<String, Long> idles = new HashMap<>();
    byInstance.forEach((instance, note) -> idles.put(instance, note.idle()));
    return idles;
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

  private void add(SharedNote.Account note, int sign) {
    taken += sign * clamped(note.spent(), note.lost(), note.held(), note.asked());
    lost += sign * clamped(note.lost());
    idle += sign * clamped(note.idle());
    inUse += sign * (clamped(note.spent(), note.held()) - clamped(note.idle()));
    lacking += sign * clamped(Math.max(0, note.wanted() - note.asked()));
    tokensPerSecond += sign * clamped(note.tokensPerSecond());
  }

  /** More than any total, and so little that the sum over a fleet stays a number. */
  private static long clamped(long... counts) {
    return Math.min(MOST_OF_A_NOTE, Saturated.sum(counts));
  }
}
