package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.util.Map;
import org.teaseldeal.api.BackendServerId;

/**
 * The load that the other instances have outstanding at the backend servers, as far as it is known.
 *
 * @param byServer the loads by server, without servers that have no load
 * @param age the time since the last message of another instance; zero if none has arrived
 */
public record PeerLoads(Map<BackendServerId, PeerLoad> byServer, Duration age) {
  /** The value if nothing is known of other instances. */
  public static final PeerLoads NONE = new PeerLoads(Map.of(), Duration.ZERO);

  public PeerLoads {
    byServer = Map.copyOf(byServer);
  }

  /** The load that other instances have at {@code server}. */
  public PeerLoad at(BackendServerId server) {
    return byServer.getOrDefault(server, PeerLoad.NONE);
  }
}
