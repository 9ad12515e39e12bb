package org.teaseldeal.core;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Limits of one instance that are fixed in the program and not part of the settings tree.
 *
 * @param heartbeatInterval the interval between heartbeats to peers
 * @param peerSilenceTimeout how long a peer may be silent before this instance appends the peer's
 *     charges that it stores
 * @param logSilenceTimeout how long the log may be silent before it counts as unreachable
 * @param confirmationTimeout how long a complete answer waits until its charge is read back from
 *     the log or stored by a peer
 * @param transferTimeout how long a request waits for the tokens of one peer before another source
 *     is tried
 * @param retryAfter the retry delay that callers are given when no better estimate is known
 * @param usageQueryInterval the interval at which an engine is queried for the usage of an
 *     abandoned attempt
 * @param usageQueryTimeout how long an engine is queried before the whole reservation is written
 *     off
 * @param maxResumes the largest number of resumes of one run without progress in between
 * @param resumeDelay the delay before a resume that follows a failed one
 * @param maxAttempts the largest number of attempts for one request
 * @param quarantineDuration how long a request that was in flight on two failed servers stays
 *     refused
 * @param maxStoredAnswerBytes the largest answer in bytes that is stored with its claim
 * @param drainTimeout how long a drain waits for the log before the instance stops without it
 */
public record InstanceLimits(
    Duration heartbeatInterval,
    Duration peerSilenceTimeout,
    Duration logSilenceTimeout,
    Duration confirmationTimeout,
    Duration transferTimeout,
    Duration retryAfter,
    Duration usageQueryInterval,
    Duration usageQueryTimeout,
    int maxResumes,
    Duration resumeDelay,
    int maxAttempts,
    Duration quarantineDuration,
    int maxStoredAnswerBytes,
    Duration drainTimeout) {
  public InstanceLimits {
    Preconditions.requirePositive(heartbeatInterval.toMillis(), "heartbeat interval");
    Preconditions.requirePositive(maxResumes, "max resumes");
    Preconditions.requirePositive(maxAttempts, "max attempts");
  }

  /** Returns the limits of a production instance. */
  public static InstanceLimits standard() {
    return new InstanceLimits(
        Duration.ofMillis(500),
        Duration.ofSeconds(3),
        Duration.ofSeconds(3),
        Duration.ofMillis(250),
        Duration.ofMillis(250),
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        Duration.ofSeconds(60),
        4,
        Duration.ofMillis(200),
        3,
        Duration.ofMinutes(10),
        16 * 1024,
        Duration.ofSeconds(30));
  }

  /** Returns a copy with another timeout for the drain. */
  public InstanceLimits withDrainTimeout(Duration timeout) {
    return new InstanceLimits(
        heartbeatInterval,
        peerSilenceTimeout,
        logSilenceTimeout,
        confirmationTimeout,
        transferTimeout,
        retryAfter,
        usageQueryInterval,
        usageQueryTimeout,
        maxResumes,
        resumeDelay,
        maxAttempts,
        quarantineDuration,
        maxStoredAnswerBytes,
        timeout);
  }
}
