package org.teaseldeal.gateway.server;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseldeal.api.BackendServerId;

/** The backend servers that are listed, by service. */
public final class ServerDirectory {
  private final Map<BackendServerId, BackendServer> servers = new HashMap<>();
  private final Map<String, Map<BackendServerId, BackendServer>> byService = new HashMap<>();
  private long changes;

  /** Takes in a new or changed line of the list. */
  public void put(ServerListing listing) {
    changes++;
    BackendServer known = servers.get(listing.id());
    if (known == null) {
      BackendServer added = new BackendServer(listing);
      servers.put(listing.id(), added);
      byService
          .computeIfAbsent(listing.service(), name -> new LinkedHashMap<>())
          .put(listing.id(), added);
    } else if (listing.leaving()) {
      known.markLeaving();
    }
  }

  /** Takes a line out of the list: the server left, or was silent for too long. */
  public void remove(BackendServerId id) {
    BackendServer removed = servers.remove(id);
    if (removed == null) {
      return;
    }
    changes++;
    removed.markLeaving();
    Map<BackendServerId, BackendServer> others = byService.get(removed.service());
    if (others != null) {
      others.remove(id);
    }
  }

  /** Removes all that are not among {@code listed}, after the list was read anew. */
  public void retain(Set<BackendServerId> listed) {
    List<BackendServerId> gone = new ArrayList<>(servers.keySet());
    gone.removeAll(listed);
    gone.forEach(this::remove);
  }

  /** The servers of a service that are listed as ready. */
  public List<BackendServer> ready(String service) {
    Map<BackendServerId, BackendServer> all = byService.get(service);
    if (all == null) {
      return List.of();
    }
    return all.values().stream().filter(BackendServer::listedAsReady).toList();
  }

  /** A listed server by its id. */
  public Optional<BackendServer> find(BackendServerId id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** All that are listed. */
  public Collection<BackendServer> all() {
    return servers.values();
  }

  /** Counts up with each change of the list. */
  public long changes() {
    return changes;
  }
}
