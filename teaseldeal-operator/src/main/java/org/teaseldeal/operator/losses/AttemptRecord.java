package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.time.Instant;

/**
 * One attempt of a caller to have a request answered, and how it ended.
 *
 * @param fingerprint identifies the request: equal for all of its attempts
 * @param kind the kind of the request, such as {@code stream 400 ms}
 * @param arrived when the instance accepted the attempt
 * @param cause why the attempt wasn't answered in time; not meaningful if it was
 * @param stateAge how old the information was on which the instance based the outcome; negative if
 *     there was none or its age isn't logged
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
