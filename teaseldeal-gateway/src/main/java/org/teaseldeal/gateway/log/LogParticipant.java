package org.teaseldeal.gateway.log;

import java.time.Instant;
import java.util.List;

/** A part of the instance that writes notes and hears those of all instances. */
public interface LogParticipant {
  /** A note of any instance, in the order of the log. */
  void onNote(SharedNote note, boolean own);

  /**
   * The newest notes of all keys, in no order, after a start or a gap.
   *
   * @param first whether it is the first time, so that own notes are those of an earlier process
   */
  void onLoaded(List<SharedNote> notes, boolean first);

  /** All notes that {@link #notesToWrite} gave last are on the log. */
  default void onWritten() {}

  /** Whether something depends on reading back an own note, and nothing may be written before. */
  default boolean awaitsOwnNote() {
    return false;
  }

  /** Whether anything here depends on what the log says now; if not, it needn't be read. */
  default boolean needsLog() {
    return true;
  }

  /** The log isn't read from now on, as nobody needs it. */
  default void onLogResting() {}

  /** The log is needed again; all notes are about to be read anew. */
  default void onLogNeededAgain() {}

  /** Whether news of other instances is awaited. */
  boolean waitsForOthers();

  /** What to write now; empty if there is nothing that can't wait. */
  List<SharedNote> notesToWrite(Instant now);
}
