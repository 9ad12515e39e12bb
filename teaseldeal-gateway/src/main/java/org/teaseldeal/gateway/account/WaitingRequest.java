package org.teaseldeal.gateway.account;

import java.time.Instant;

/**
 * A request that waits for tokens.
 *
 * @param leaves when its caller gives up waiting for the answer to begin
 * @param deadline when an answer is of no use any more
 */
record WaitingRequest(
    long tokens, Instant since, Instant leaves, Instant deadline, ReservationListener listener) {}
