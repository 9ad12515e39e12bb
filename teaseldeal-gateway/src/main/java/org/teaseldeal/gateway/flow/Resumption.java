package org.teaseldeal.gateway.flow;

import java.util.Optional;

/**
 * The statement of a caller that it takes up a stream of which it has received a part.
 *
 * @param lastEventId the id of the last event that the caller has received; empty if it gave none
 * @param firstAttempt the caller's id of its attempt that brought the stream's first event, if it
 *     gave one
 */
public record Resumption(Optional<String> lastEventId, Optional<String> firstAttempt) {
  /** Returns the statement that two optional headers make; empty if neither is present. */
  public static Optional<Resumption> of(
      Optional<String> lastEventId, Optional<String> firstAttempt) {
    return lastEventId.isEmpty() && firstAttempt.isEmpty()
        ? Optional.empty()
        : Optional.of(new Resumption(lastEventId, firstAttempt));
  }
}
