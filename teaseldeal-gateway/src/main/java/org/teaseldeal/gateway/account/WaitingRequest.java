package org.teaseldeal.gateway.account;

import java.time.Instant;
import org.teaseldeal.api.Preconditions;

/**
 * A request that waits for tokens.
 *
 * @param tokens number of tokens that the request needs
 * @param waitingSince when the request began to wait
 * @param callerTimeout when the caller stops waiting for the answer to begin
 * @param deadline when the answer is of no use any more
 * @param listener receives the outcome
 */
record WaitingRequest(
    long tokens,
    Instant waitingSince,
    Instant callerTimeout,
    Instant deadline,
    ReservationListener listener) {
  WaitingRequest {
    Preconditions.requireNotNegative(tokens, "tokens of a request");
  }
}
