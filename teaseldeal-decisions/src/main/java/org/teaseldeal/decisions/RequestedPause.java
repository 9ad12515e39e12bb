package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when requests may be sent to a server that asked for a pause.
 *
 * <p>None is sent until the pause is over. Then the server gets one trial at a time until it takes
 * one, so that it isn't met at once by all requests that could not be sent to it before.
 */
public final class RequestedPause {
  /** How long the answer to a trial is awaited before the next one is sent. */
  private static final Duration MAX_TRIAL = Duration.ofMillis(500);

  private Instant until;
  private Instant nextTrialAt = Instant.MIN;

  /** Creates a pause until {@code until}. */
  public RequestedPause(Instant until) {
    this.until = until;
  }

  /** Extends the pause; the latest end of all that the server asked for counts. */
  public void extendTo(Instant end) {
    if (end.isAfter(until)) {
      until = end;
    }
  }

  /** Returns whether the pause isn't over. */
  public boolean isInForce(Instant now) {
    return now.isBefore(until);
  }

  /** Returns whether a request may be sent. */
  public boolean hasRoom(Instant now) {
    return !now.isBefore(roomAt());
  }

  /** Returns when a request may be sent, unless the server asks for a further pause. */
  public Instant roomAt() {
    return nextTrialAt.isAfter(until) ? nextTrialAt : until;
  }

  /** Records that a request is sent. */
  public void onSent(Instant now) {
    nextTrialAt = now.plus(MAX_TRIAL);
  }

  /** Records that the request that was sent last was answered or failed. */
  public void onTrialEnded() {
    nextTrialAt = Instant.MIN;
  }

  /** Returns whether an answer to a request that was sent at {@code sentAt} ends the trials. */
  public boolean endsWithAnswerTo(Instant sentAt) {
    return !sentAt.isBefore(until);
  }
}
