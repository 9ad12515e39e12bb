package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * One entry of the list of backend servers.
 *
 * @param service the name of the service that the server belongs to
 * @param address the address as {@code host:port}, with an IP address as the host
 * @param dataCentre the data centre in which the server runs
 * @param softwareVersion the version of the server's software, an opaque text; what two versions
 *     write doesn't fit together
 * @param maxConcurrentRequests the number of requests that the server runs at once
 * @param leaving whether the server accepts no new requests
 * @param startedAt when the server's process started, by its own clock; empty if the server doesn't
 *     publish it
 * @param warmUpLeft how much longer the server warms up; zero if it doesn't
 */
public record ServerListing(
    BackendServerId id,
    String service,
    String address,
    String dataCentre,
    String softwareVersion,
    int maxConcurrentRequests,
    boolean leaving,
    Optional<Instant> startedAt,
    Duration warmUpLeft) {
  /** Creates an entry of a server that is not warming up. */
  public ServerListing(
      BackendServerId id,
      String service,
      String address,
      String dataCentre,
      String softwareVersion,
      int maxConcurrentRequests,
      boolean leaving,
      Optional<Instant> startedAt) {
    this(
        id,
        service,
        address,
        dataCentre,
        softwareVersion,
        maxConcurrentRequests,
        leaving,
        startedAt,
        Duration.ZERO);
  }

  public ServerListing {
    Preconditions.requireText(service, "service of " + id);
    Preconditions.requireText(address, "address of " + id);
    Preconditions.requireNotNegative(warmUpLeft.toMillis(), "warm-up left of " + id);
    Preconditions.requirePositive(maxConcurrentRequests, "max concurrent requests of " + id);
  }

  /** The incarnation that the entry describes. */
  public ServerIncarnation incarnation() {
    return new ServerIncarnation(id, startedAt);
  }
}
