package org.teaseldeal.gateway.server;

import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * One line of the list of backend servers.
 *
 * @param address {@code host:port} by IP number
 * @param places requests that it runs at once
 * @param leaving whether it takes no new requests
 * @param startedAt when the server's process started, by its own clock; empty if it doesn't tell
 */
public record ServerListing(
    BackendServerId id,
    String service,
    String address,
    String dataCentre,
    int places,
    boolean leaving,
    Optional<Instant> startedAt) {
  public ServerListing {
    Preconditions.requireText(service, "service of " + id);
    Preconditions.requireText(address, "address of " + id);
    Preconditions.requirePositive(places, "places of " + id);
  }

  /** The process that the line is of. */
  public ServerIncarnation incarnation() {
    return new ServerIncarnation(id, startedAt);
  }
}
