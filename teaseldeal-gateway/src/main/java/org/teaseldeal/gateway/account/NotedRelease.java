package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;

/**
 * How many of the idle tokens may be used by all notes that a successor may find.
 *
 * <p>Failure: a note reaches the log and its answer is lost as a cut begins. The note before it is
 * older and releases its tokens sooner, so an instance that went by that one alone used more than
 * the younger one allows. Symptom: its successor, which finds the younger note, gives the same
 * tokens out again and the customer gets more than its total. So both bind.
 */
final class NotedRelease {
  /**
   * What the newest note that is surely on the log says, and what was taken since it was composed.
   */
  private Promise noted = Promise.NONE;

  private long takenSinceNoted;

  /** The same of the note that is being written, which may be on the log already. */
  private Promise drafted = Promise.NONE;

  private long takenSinceDrafted;

  Promise noted() {
    return noted;
  }

  Promise drafted() {
    return drafted;
  }

  /** Tokens taken since the newest note that is surely on the log. */
  long taken() {
    return takenSinceNoted;
  }

  /** Tokens that may be taken now; negative where more were taken than the younger note allows. */
  long left(Instant now) {
    long byNoted = noted.released(now) - takenSinceNoted;
    long byDrafted = drafted.released(now) - takenSinceDrafted;
    return Math.min(byNoted, byDrafted);
  }

  /** When {@code tokens} may be taken, if no other note is written. */
  Duration until(long tokens, Instant now) {
    Duration byNoted = noted.untilReleased(takenSinceNoted + tokens, now);
    Duration byDrafted = drafted.untilReleased(takenSinceDrafted + tokens, now);
    return byNoted.compareTo(byDrafted) > 0 ? byNoted : byDrafted;
  }

  void take(long tokens) {
    takenSinceNoted += tokens;
    takenSinceDrafted += tokens;
  }

  /** Takes note of what the note says that is going to be written. */
  void draft(Promise promise) {
    drafted = promise;
    takenSinceDrafted = 0;
  }

  /** Takes note that the drafted note is on the log. */
  void written() {
    noted = drafted;
    takenSinceNoted = takenSinceDrafted;
  }
}
