package org.teaseldeal.router.caller;

import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.core.BearerToken;
import org.teaseldeal.core.Payload;

/**
 * A parsed request of a caller.
 *
 * @param token the bearer token, if the request has one
 * @param service the name of the requested service
 * @param idempotencyKey the key by which a repeated request is recognized, if the request has one
 * @param timeout the remaining time that the caller waits for the answer, if it gave a timeout
 * @param payload the request to send to a backend server
 */
record ParsedRequest(
    Optional<BearerToken> token,
    String service,
    Optional<String> idempotencyKey,
    Optional<Duration> timeout,
    Payload payload) {}
