package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.api.BackendServerId;

/**
 * What a backend server is told besides the caller's request.
 *
 * @param server the incarnation that is meant; another one at the address must not run it
 * @param timeLeft that it may take
 * @param rank 0 is the most urgent
 * @param resumeAfter the last event that the caller has, if a stream is to go on after it
 */
public record Handover(
    BackendServerId server,
    String address,
    Optional<String> customer,
    Duration timeLeft,
    int rank,
    Optional<String> resumeAfter) {}
