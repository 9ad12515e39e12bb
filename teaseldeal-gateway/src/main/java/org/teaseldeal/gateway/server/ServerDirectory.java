package org.teaseldeal.gateway.server;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.teaseldeal.api.BackendServerId;

/** The backend servers that are listed, by service. */
public final class ServerDirectory {
  private final Map<BackendServerId, BackendServer> servers = new HashMap<>();
  private final Map<BackendServerId, Instant> lapsed = new HashMap<>();
  private final Map<String, Map<BackendServerId, BackendServer>> byService = new HashMap<>();
  private final Set<BackendServerId> unusable = new HashSet<>();
  private long changes;

  /** Takes in a new or changed line of the list. */
  public void put(ServerListing listing) {
    changes++;
    unusable.remove(listing.id());
    lapsed.remove(listing.id());
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

  /**
   * Gives a server no new requests until {@link #put} has a good line of it again: its newest line
   * can't be used, and may be another writer's. It isn't leaving, and what runs there goes on.
   */
  public void unusable(BackendServerId id) {
    if (servers.containsKey(id) && unusable.add(id)) {
      changes++;
    }
  }

  /** Takes a line out of the list: the server left, or was silent for too long. */
  public void remove(BackendServerId id) {
    unusable.remove(id);
    lapsed.remove(id);
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

  /**
   * Keeps a server whose line is missing for a little longer; for the time just after an outage of
   * the list.
   *
   * <p>Failure: while the list can't be written, servers can't renew their lines and all of them
   * expire. Symptom: when it is back the list is empty for some seconds, and every request is
   * refused although all servers are well. A server that is gone for good fails fast, and one that
   * left serves on for as long, so keeping both until {@code until} costs a second attempt at most.
   */
  public void lapse(BackendServerId id, Instant until) {
    BackendServer server = servers.get(id);
    if (server == null || !server.listedAsReady()) {
      remove(id);
    } else {
      lapsed.putIfAbsent(id, until);
    }
  }

  /** Removes what has not come back in time. */
  public void tick(Instant now) {
    if (lapsed.isEmpty()) {
      return;
    }
    for (Map.Entry<BackendServerId, Instant> entry : List.copyOf(lapsed.entrySet())) {
      if (!now.isBefore(entry.getValue())) {
        remove(entry.getKey());
      }
    }
  }

  /** Removes all that are not among {@code listed}, after the list was read anew. */
  public void retain(Set<BackendServerId> listed) {
    missing(listed).forEach(this::remove);
  }

  /** Lets all lapse that are not among {@code listed}. */
  public void lapseOthers(Set<BackendServerId> listed, Instant until) {
    missing(listed).forEach(id -> lapse(id, until));
  }

  private List<BackendServerId> missing(Set<BackendServerId> listed) {
    List<BackendServerId> gone = new ArrayList<>(servers.keySet());
    gone.removeAll(listed);
    return gone;
  }

  /**
   * The servers of a service that are listed as ready. Servers of a service that no configuration
   * names are held too: nobody asks for them until one does.
   */
  public List<BackendServer> ready(String service) {
    Map<BackendServerId, BackendServer> all = byService.get(service);
    if (all == null) {
      return List.of();
    }
    return all.values().stream()
        .filter(server -> server.listedAsReady() && !unusable.contains(server.id()))
        .toList();
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
