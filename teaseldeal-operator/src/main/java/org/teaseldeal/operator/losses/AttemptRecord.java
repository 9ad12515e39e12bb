package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.time.Instant;

/**
 * What became of one attempt of a caller.
 *
 * @param fingerprint the same for each attempt of a request
 * @param kind of request, such as {@code stream 400 ms}
 * @param arrived when its instance took it
 * @param stateAge how old the belief was that decided it; negative if none did or it isn't known
 */
record AttemptRecord(
    String fingerprint,
    String kind,
    String customer,
    String instance,
    String dataCentre,
    Instant arrived,
    Instant ended,
    AttemptOutcome outcome,
    LossCause cause,
    Duration stateAge) {}
