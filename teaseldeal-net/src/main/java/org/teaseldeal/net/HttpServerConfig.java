package org.teaseldeal.net;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Listening address and limits of a server.
 *
 * @param host the IP address to listen on
 * @param port the port to listen on; 0 lets the system choose
 * @param maxConnections the maximum number of open connections
 * @param maxHeaderBytes the maximum size of a request's first line, and of its headers together
 * @param maxBodyBytes the maximum size of a request's body
 * @param requestTimeout the time limit from a request's first byte to its last
 * @param idleTimeout how long a connection may stay idle between requests
 */
public record HttpServerConfig(
    String host,
    int port,
    int maxConnections,
    int maxHeaderBytes,
    int maxBodyBytes,
    Duration requestTimeout,
    Duration idleTimeout) {
  public HttpServerConfig {
    Preconditions.requireText(host, "host");
    Preconditions.require(
        port >= 0 && port <= 65_535, "port was %d, expected 0 to 65535".formatted(port));
    Preconditions.requirePositive(maxConnections, "max connections");
    Preconditions.requirePositive(maxHeaderBytes, "max header bytes");
    Preconditions.requirePositive(maxBodyBytes, "max body bytes");
    Preconditions.requirePositive(requestTimeout.toMillis(), "request timeout");
    Preconditions.requirePositive(idleTimeout.toMillis(), "idle timeout");
  }

  /**
   * Returns limits suitable for tools and fakes; if {@code port} is 0, the system chooses the port.
   */
  public static HttpServerConfig defaults(String host, int port) {
    return new HttpServerConfig(
        host, port, 10_000, 16_384, 8 << 20, Duration.ofSeconds(30), Duration.ofMinutes(2));
  }
}
