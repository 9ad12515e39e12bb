package org.teaseldeal.gateway.server;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.teaseldeal.api.BackendServerId;

/** The backend servers that are listed, by service. */
public final class ServerDirectory {
  private final Map<BackendServerId, BackendServer> servers = new HashMap<>();
  private final Map<BackendServerId, Instant> lapsed = new HashMap<>();
  private final Map<String, Map<BackendServerId, BackendServer>> byService = new HashMap<>();
  private final Set<BackendServerId> unusable = new HashSet<>();
  private final DepartedServers departed = new DepartedServers();
  private Consumer<BackendServer> replacedListener = earlier -> {};
  private long changes;
  private long workChanges;

  /** Stays set: good lines may all be gone for a moment while another writer's stay. */
  private boolean startsTold;

  /** Tells {@code listener} of each incarnation that a later one of its id takes the place of. */
  public void onReplaced(Consumer<BackendServer> listener) {
    replacedListener = listener;
  }

  /**
   * Takes in a line of the list.
   *
   * <p>A line of a later incarnation replaces what is known of its server; of an earlier one, it
   * changes nothing. Of the same one, leaving is final, and nothing else changes.
   */
  public ListChange put(ServerListing listing) {
    if (startsTold && listing.startedAt().isEmpty()) {
      unusable(listing.id());
      return ListChange.NONE;
    }
    BackendServer known = servers.get(listing.id());
    if (known == null) {
      return putUnlisted(listing);
    }
    if (listing.incarnation().startedAfter(known.incarnation())) {
      return replace(known, listing);
    }
    if (!listing.incarnation().equals(known.incarnation())) {
      return ListChange.NONE;
    }
    boolean missed = lapsed.remove(listing.id()) != null;
    boolean back = unusable.remove(listing.id()) || missed;
    if (!known.listedAsReady()) {
      return ListChange.NONE;
    }
    if (listing.leaving()) {
      return leave(known);
    }
    return back ? ListChange.READY : ListChange.NONE;
  }

  private ListChange putUnlisted(ServerListing listing) {
    if (departed.shutsOut(listing.incarnation())) {
      return ListChange.NONE;
    }
    departed.remove(listing.id());
    add(listing);
    return listing.leaving() ? ListChange.LEAVING : ListChange.READY;
  }

  private ListChange replace(BackendServer earlier, ServerListing listing) {
    drop(earlier);
    add(listing);
    replacedListener.accept(earlier);
    return listing.leaving() ? ListChange.LEAVING : ListChange.RESTARTED;
  }

  private ListChange leave(BackendServer server) {
    changes++;
    server.markLeaving();
    return ListChange.LEAVING;
  }

  private void add(ServerListing listing) {
    changes++;
    BackendServer added = new BackendServer(listing, () -> workChanges++);
    servers.put(listing.id(), added);
    byService
        .computeIfAbsent(listing.service(), name -> new LinkedHashMap<>())
        .put(listing.id(), added);
  }

  private void drop(BackendServer server) {
    changes++;
    unusable.remove(server.id());
    lapsed.remove(server.id());
    servers.remove(server.id());
    server.markLeaving();
    Map<BackendServerId, BackendServer> others = byService.get(server.service());
    if (others != null) {
      others.remove(server.id());
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
    BackendServer removed = servers.get(id);
    if (removed != null) {
      departed.add(removed.incarnation(), !removed.listedAsReady());
      drop(removed);
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

  /** Removes what has not come back in time and what names no server, and returns it. */
  public List<BackendServer> tick(Instant now) {
    departed.tick(now);
    Set<BackendServer> gone = new LinkedHashSet<>();
    lapsed.forEach(
        (id, until) -> {
          if (!now.isBefore(until)) {
            find(id).ifPresent(gone::add);
          }
        });
    if (!startsTold && mostTellStarts()) {
      startsTold = true;
      gone.addAll(servers.values().stream().filter(server -> !tellsStart(server)).toList());
    }
    gone.forEach(server -> remove(server.id()));
    return List.copyOf(gone);
  }

  /**
   * Whether the list is of a fleet that tells starts, so that a line without one names no server.
   *
   * <p>Failure: another writer's line is taken for a server's. Symptom: requests are sent to an
   * address that is none of the platform's. All servers of a fleet tell their start, or none does;
   * half of the list decides, so that one line of another writer can't take a whole fleet away.
   */
  private boolean mostTellStarts() {
    long telling = servers.values().stream().filter(ServerDirectory::tellsStart).count();
    return telling > 0 && 2 * telling >= servers.size();
  }

  private static boolean tellsStart(BackendServer server) {
    return server.incarnation().startedAt().isPresent();
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

  /** Whether this incarnation is listed; not so once a later one of its id is. */
  public boolean lists(ServerIncarnation incarnation) {
    BackendServer known = servers.get(incarnation.id());
    return known != null && known.incarnation().equals(incarnation);
  }

  /** All that are listed. */
  public Collection<BackendServer> all() {
    return servers.values();
  }

  /** Counts up with each change of which servers are listed, and of which of them are ready. */
  public long changes() {
    return changes;
  }

  /** Counts up with each change of what this instance has outstanding at any server. */
  public long workChanges() {
    return workChanges;
  }
}
