package org.teaseldeal.gateway.server;

import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Preconditions;

/**
 * One line of the list of backend servers.
 *
 * @param address {@code host:port} by IP number
 * @param places requests that it runs at once
 * @param leaving whether it takes no new requests
 */
public record ServerListing(
    BackendServerId id,
    String service,
    String address,
    String dataCentre,
    int places,
    boolean leaving) {
  public ServerListing {
    Preconditions.requireText(service, "service of " + id);
    Preconditions.requireText(address, "address of " + id);
    Preconditions.requirePositive(places, "places of " + id);
  }
}
