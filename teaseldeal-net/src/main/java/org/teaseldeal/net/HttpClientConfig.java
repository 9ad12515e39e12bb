package org.teaseldeal.net;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Limits of a client.
 *
 * @param connectTimeout the time limit for opening a connection
 * @param maxConnectionsPerAddress the maximum number of open connections per address; a call that
 *     would need another one fails as {@link HttpFailure#NOT_SENT}
 * @param maxIdlePerAddress the maximum number of idle connections kept per address
 * @param idleTimeout how long an idle connection is kept; shorter than the idle timeout of the
 *     servers called, as calls would otherwise be sent on connections that are being closed
 * @param maxHeaderBytes the maximum size of an answer's first line, and of its headers together
 * @param maxAnswerBytes the maximum size of an answer's body that {@link HttpClient#fetch} collects
 */
public record HttpClientConfig(
    Duration connectTimeout,
    int maxConnectionsPerAddress,
    int maxIdlePerAddress,
    Duration idleTimeout,
    int maxHeaderBytes,
    int maxAnswerBytes) {
  public HttpClientConfig {
    Preconditions.requirePositive(connectTimeout.toMillis(), "connect timeout");
    Preconditions.requirePositive(maxConnectionsPerAddress, "max connections per address");
    Preconditions.requireNotNegative(maxIdlePerAddress, "max idle per address");
    Preconditions.requirePositive(idleTimeout.toMillis(), "idle timeout");
    Preconditions.requirePositive(maxHeaderBytes, "max header bytes");
    Preconditions.requirePositive(maxAnswerBytes, "max answer bytes");
  }

  /** Returns limits suitable for tools and daemons within a data centre. */
  public static HttpClientConfig defaults() {
    return new HttpClientConfig(
        Duration.ofSeconds(1), 4096, 64, Duration.ofSeconds(30), 16_384, 64 << 20);
  }
}
