package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.util.Map;
import org.teaseldeal.api.BackendServerId;

/**
 * What other instances have outstanding at the backend servers, as far as is known here.
 *
 * @param byServer servers without any are left out
 * @param heardAgo how long ago other instances were last heard; zero if there are none
 */
public record FleetLoad(Map<BackendServerId, OthersLoad> byServer, Duration heardAgo) {
  /** Nothing is known of other instances. */
  public static final FleetLoad NONE = new FleetLoad(Map.of(), Duration.ZERO);

  public FleetLoad {
    byServer = Map.copyOf(byServer);
  }

  /** What others have at {@code server}. */
  public OthersLoad at(BackendServerId server) {
    return byServer.getOrDefault(server, OthersLoad.NONE);
  }
}
