package org.teaseldeal.gateway.log;

import java.time.Instant;
import java.util.List;

/** A component of an instance that publishes notes and receives the notes of all instances. */
public interface LogParticipant {
  /**
   * Called for each note of any instance, in the order of the log.
   *
   * @param own whether the note is stored under a key of this instance
   */
  void onNote(SharedNote note, boolean own);

  /**
   * Called with the newest notes of all keys, in the order of the log, after a start or a gap.
   *
   * @param first whether this is the first load, so that own notes are those of a previous process
   */
  void onLoaded(List<SharedNote> notes, boolean first);

  /** Called when all notes returned by the last {@link #notesToWrite} are on the log. */
  default void onWritten() {}

  /**
   * Returns whether this component waits until an own note has been read back; until then no other
   * note may be written.
   */
  default boolean awaitsOwnNote() {
    return false;
  }

  /**
   * Returns whether this component needs the log's current content; if none does, the log is not
   * read.
   */
  default boolean needsLog() {
    return true;
  }

  /** Called when the log is no longer read because no component needs it. */
  default void onLogReadingPaused() {}

  /** Called when the log is needed again; all notes are about to be loaded. */
  default void onLogReadingResumed() {}

  /** Returns whether this component waits for notes of other instances. */
  boolean awaitsPeerNotes();

  /** Returns the notes to write now; empty if none is due. */
  List<SharedNote> notesToWrite(Instant now);
}
