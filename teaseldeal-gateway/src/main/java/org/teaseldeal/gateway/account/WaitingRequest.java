package org.teaseldeal.gateway.account;

import java.time.Instant;

/** A request that waits for tokens. */
record WaitingRequest(long tokens, Instant since, Instant deadline, ReservationListener listener) {}
