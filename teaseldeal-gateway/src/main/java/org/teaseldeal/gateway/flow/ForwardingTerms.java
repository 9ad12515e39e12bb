package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.api.BackendServerId;

/**
 * The terms under which a request is sent to a backend server, besides the caller's request itself.
 *
 * @param server the incarnation that is to run the request; another one at the same address must
 *     not run it
 * @param timeLeft the time that the request may still take
 * @param rank the priority, where 0 is the most urgent
 * @param resumeAfter the id of the last event that the caller has received, if a stream is to be
 *     resumed after it
 */
public record ForwardingTerms(
    BackendServerId server,
    String address,
    Optional<String> customer,
    Duration timeLeft,
    int rank,
    Optional<String> resumeAfter) {}
