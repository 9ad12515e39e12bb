package org.teaseldeal.router.settings;

import java.time.Duration;

/**
 * Limits on the memory that a router uses and on the time that it waits.
 *
 * @param maxBodyBytes the largest body of a request
 * @param maxHeaderBytes the largest request line and headers of a request
 * @param maxConnections the largest number of open connections of callers
 * @param requestTimeout the longest time between the first and the last byte of a request
 * @param idleTimeout how long a caller's connection stays open between two requests
 * @param leaveGracePeriod how long an instance that shuts down keeps listening and refuses new
 *     requests as not run, so that load balancers and peers see that the instance is leaving before
 *     it is gone; this time is part of {@code drainTimeout}
 * @param drainTimeout how long a shutdown waits for requests in flight to finish
 * @param maxStreamBufferBytes the most bytes of a streamed answer that a caller may leave unread
 * @param maxAnswerBytes the largest answer that is buffered completely before it is sent to its
 *     caller
 */
public record RouterLimits(
    int maxBodyBytes,
    int maxHeaderBytes,
    int maxConnections,
    Duration requestTimeout,
    Duration idleTimeout,
    Duration leaveGracePeriod,
    Duration drainTimeout,
    int maxStreamBufferBytes,
    int maxAnswerBytes) {}
