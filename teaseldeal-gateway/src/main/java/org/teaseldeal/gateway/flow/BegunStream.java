package org.teaseldeal.gateway.flow;

import java.time.Instant;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.net.ResponseStream;

/**
 * A stream that another instance began for a caller of this one, as far as it was passed on.
 *
 * @param stream the caller's answer, which ends with a whole event
 * @param lastEventId the id of the last event that was passed on
 * @param firstSentAt when the first event was passed on
 * @param lastSentAt when the last event was passed on
 */
public record BegunStream(
    ResponseStream stream, String lastEventId, Instant firstSentAt, Instant lastSentAt) {
  public BegunStream {
    Preconditions.requireText(lastEventId, "id of the last event");
  }
}
