package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;

/**
 * Limits the use of idle tokens to what every note allows that a successor process may find on the
 * log.
 *
 * <p>A note can reach the log while its answer is lost because a network partition begins. The
 * previous note is older, so it releases its tokens sooner than the new one. If the instance
 * followed only the previous note, it would use more tokens than the new note allows. Its
 * successor, which finds the new note, would give out the same tokens again, and the customer would
 * get more than its total. Therefore both notes limit the use.
 */
final class ReleaseLimit {
  /** The content of the newest note that is known to be on the log. */
  private PublishedRelease confirmed = PublishedRelease.NONE;

  private long takenSinceConfirmed;

  /** The content of the note that is being written; that note may already be on the log. */
  private PublishedRelease pending = PublishedRelease.NONE;

  private long takenSincePending;

  PublishedRelease confirmed() {
    return confirmed;
  }

  PublishedRelease pending() {
    return pending;
  }

  /**
   * Returns the number of tokens taken since the newest note that is known to be on the log was
   * composed.
   */
  long takenSinceConfirmed() {
    return takenSinceConfirmed;
  }

  /**
   * Returns the number of tokens that may be taken now. It is negative if more tokens have been
   * taken than the newer note allows.
   */
  long available(Instant now) {
    long byConfirmed = confirmed.released(now) - takenSinceConfirmed;
    long byPending = pending.released(now) - takenSincePending;
    return Math.min(byConfirmed, byPending);
  }

  /** Returns how long it takes until {@code tokens} may be taken if no further note is written. */
  Duration untilAvailable(long tokens, Instant now) {
    Duration byConfirmed = confirmed.untilReleased(takenSinceConfirmed + tokens, now);
    Duration byPending = pending.untilReleased(takenSincePending + tokens, now);
    return byConfirmed.compareTo(byPending) > 0 ? byConfirmed : byPending;
  }

  void take(long tokens) {
    takenSinceConfirmed += tokens;
    takenSincePending += tokens;
  }

  /** Records the content of the note that is about to be written. */
  void recordPending(PublishedRelease release) {
    pending = release;
    takenSincePending = 0;
  }

  /** Records that the pending note is on the log. */
  void confirmPending() {
    confirmed = pending;
    takenSinceConfirmed = takenSincePending;
  }
}
