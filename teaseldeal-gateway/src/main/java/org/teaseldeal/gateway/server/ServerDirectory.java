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
import java.util.stream.Stream;
import org.teaseldeal.api.BackendServerId;

/** The backend servers that are listed, by id and by service. */
public final class ServerDirectory {
  private final Map<BackendServerId, BackendServer> servers = new HashMap<>();
  private final Map<BackendServerId, Instant> graceEnds = new HashMap<>();
  private final Map<String, Map<BackendServerId, BackendServer>> byService = new HashMap<>();
  private final Set<BackendServerId> unusable = new HashSet<>();
  private final Set<String> evacuatedDataCentres = new HashSet<>();

  /** When this instance learned that a listed server leaves. */
  private final Map<BackendServerId, Instant> leavingSince = new HashMap<>();

  private final DepartedServers departed = new DepartedServers();
  private final AnnouncedLeaves announcedLeaves = new AnnouncedLeaves();
  private Consumer<BackendServer> replacedListener = earlier -> {};
  private Runnable loadListener = () -> {};
  private Runnable changeListener = () -> {};
  private Instant now = Instant.MIN;
  private Instant listReadAt = Instant.MIN;
  private final Map<String, List<BackendServer>> readyByService = new HashMap<>();
  private long readyAtChanges;
  private long changes;
  private long changesAtStartTimeCheck = -1;
  private long loadChanges;

  /**
   * Whether listings without a start time are ignored. Once set it stays set, as the listings with
   * a start time may all be missing for a moment while those of another writer remain.
   */
  private boolean startTimesRequired;

  /** Records that all records of the list up to its end have been read. */
  public void onListRead(Instant time) {
    listReadAt = time;
  }

  /** Sets the listener that is called with each incarnation that a later one has replaced. */
  public void onReplaced(Consumer<BackendServer> listener) {
    replacedListener = listener;
  }

  /** Sets the listener that is called after each change of this instance's load at any server. */
  public void onLoadChanged(Runnable listener) {
    loadListener = listener;
  }

  /** Sets the listener that is called after each change of {@link #changes} or {@link #dueAt}. */
  public void onChanged(Runnable listener) {
    changeListener = listener;
  }

  private void onChange() {
    changes++;
    changeListener.run();
  }

  private void onLoadChange() {
    loadChanges++;
    loadListener.run();
  }

  /** Takes {@code time} as the present time, unless a later one is known. */
  public void advanceTo(Instant time) {
    if (time.isAfter(now)) {
      now = time;
    }
  }

  /** Returns when {@link #tick} is due again, unless the list changes before. */
  public Instant dueAt() {
    Instant first = Instant.MAX;
    for (Instant end : graceEnds.values()) {
      first = end.isBefore(first) ? end : first;
    }
    return first;
  }

  /**
   * Processes an entry of the server list.
   *
   * <p>A listing of a later incarnation replaces the known one, a listing of an earlier incarnation
   * is ignored. In a listing of the known incarnation only the change to leaving has an effect, and
   * it is final.
   */
  public ListingChange put(ServerListing listing) {
    if (startTimesRequired && listing.startedAt().isEmpty()) {
      unusable(listing.id());
      return ListingChange.NONE;
    }
    BackendServer known = servers.get(listing.id());
    if (known == null) {
      return putUnlisted(listing);
    }
    if (listing.incarnation().startedAfter(known.incarnation())) {
      return replace(known, listing);
    }
    if (!listing.incarnation().equals(known.incarnation())) {
      return ListingChange.NONE;
    }
    if (!listing.softwareVersion().equals(known.softwareVersion())) {
      // A process never changes its version, so this is a later one without a start time.
      return replace(known, listing);
    }
    known.onHeartbeat(listing.warmUpLeft(), now);
    boolean hadExpired = graceEnds.remove(listing.id()) != null;
    boolean usableAgain = unusable.remove(listing.id());
    boolean back = usableAgain || hadExpired;
    changes += usableAgain ? 1 : 0;
    if (!known.isListedAsReady()) {
      return ListingChange.NONE;
    }
    if (listing.leaving()) {
      return leave(known);
    }
    return back ? ListingChange.READY : ListingChange.NONE;
  }

  private ListingChange putUnlisted(ServerListing listing) {
    if (departed.rejects(listing.incarnation())) {
      return ListingChange.NONE;
    }
    departed.remove(listing.id());
    BackendServer added = add(listing);
    if (!listing.leaving() && announcedLeaves.contains(listing.incarnation())) {
      added.markLeaving();
      return ListingChange.LEAVING;
    }
    return listing.leaving() ? ListingChange.LEAVING : ListingChange.READY;
  }

  private ListingChange replace(BackendServer earlier, ServerListing listing) {
    drop(earlier);
    announcedLeaves.remove(listing.incarnation());
    add(listing);
    replacedListener.accept(earlier);
    return listing.leaving() ? ListingChange.LEAVING : ListingChange.RESTARTED;
  }

  /**
   * Takes a process that said itself that it leaves out of use, whatever listings of it say. Calls
   * for processes that aren't listed take effect when they are.
   *
   * @return whether that is new, and the process isn't known to leave from the list
   */
  public boolean announceLeave(ServerIncarnation incarnation) {
    boolean added = announcedLeaves.add(incarnation, now);
    BackendServer known = servers.get(incarnation.id());
    if (known == null || !known.incarnation().equals(incarnation)) {
      return added;
    }
    if (!known.isListedAsReady()) {
      return false;
    }
    leave(known);
    return true;
  }

  private ListingChange leave(BackendServer server) {
    onChange();
    server.markLeaving();
    leavingSince.put(server.id(), now);
    return ListingChange.LEAVING;
  }

  private BackendServer add(ServerListing listing) {
    onChange();
    BackendServer added = new BackendServer(listing, this::onLoadChange, () -> listReadAt, now);
    servers.put(listing.id(), added);
    byService
        .computeIfAbsent(listing.service(), name -> new LinkedHashMap<>())
        .put(listing.id(), added);
    return added;
  }

  private void drop(BackendServer server) {
    onChange();
    unusable.remove(server.id());
    graceEnds.remove(server.id());
    leavingSince.remove(server.id());
    servers.remove(server.id());
    server.markLeaving();
    Map<BackendServerId, BackendServer> ofService = byService.get(server.service());
    if (ofService != null) {
      ofService.remove(server.id());
    }
  }

  /**
   * Sends no new requests to a server until {@link #put} receives a valid listing of it. Its latest
   * listing is invalid and may be from another writer. The server doesn't count as leaving, and
   * requests that run there continue.
   */
  public void unusable(BackendServerId id) {
    if (servers.containsKey(id) && unusable.add(id)) {
      onChange();
    }
  }

  /** Removes a server whose listing is gone because it left or was silent for too long. */
  public void remove(BackendServerId id) {
    BackendServer removed = servers.get(id);
    if (removed != null) {
      departed.add(removed.incarnation(), !removed.isListedAsReady());
      drop(removed);
    }
  }

  /**
   * Keeps a server whose listing has expired until {@code until}; for use shortly after an outage
   * of the list.
   *
   * <p>While the list can't be written, servers can't renew their listings, so all listings expire.
   * Without the grace period the list would be empty for some seconds after the outage, and every
   * request would be refused although all servers are healthy. A server that is really down fails
   * fast, and one that left continues to serve for as long as the grace period, so keeping them
   * costs a second attempt at most.
   */
  public void expireWithGrace(BackendServerId id, Instant until) {
    BackendServer server = servers.get(id);
    if (server == null || !server.isListedAsReady()) {
      remove(id);
    } else {
      graceEnds.putIfAbsent(id, until);
      changeListener.run();
    }
  }

  /**
   * Removes and returns the servers whose grace period has ended without a new listing, and the
   * servers whose listing without a start time is not accepted any more.
   */
  public List<BackendServer> tick(Instant time) {
    now = time;
    departed.tick(now);
    announcedLeaves.tick(now, this::lists);
    boolean startTimesUnchecked = !startTimesRequired && changesAtStartTimeCheck != changes;
    if (graceEnds.isEmpty() && !startTimesUnchecked) {
      return List.of();
    }
    changesAtStartTimeCheck = changes;
    Set<BackendServer> removed = new LinkedHashSet<>();
    graceEnds.forEach(
        (id, until) -> {
          if (!now.isBefore(until)) {
            find(id).ifPresent(removed::add);
          }
        });
    if (!startTimesRequired && mostHaveStartTimes()) {
      startTimesRequired = true;
      removed.addAll(servers.values().stream().filter(server -> !hasStartTime(server)).toList());
    }
    removed.forEach(server -> remove(server.id()));
    return List.copyOf(removed);
  }

  /**
   * Whether at least half of the listings have a start time. Listings without one are then not
   * accepted.
   *
   * <p>Otherwise an entry of another writer could be taken for a server, and requests would be sent
   * to an address outside the platform. Either all servers of a fleet publish their start time or
   * none does. At least half must have one so that a single entry of another writer can't remove a
   * whole fleet.
   */
  private boolean mostHaveStartTimes() {
    long withStartTime = servers.values().stream().filter(ServerDirectory::hasStartTime).count();
    return withStartTime > 0 && 2 * withStartTime >= servers.size();
  }

  private static boolean hasStartTime(BackendServer server) {
    return server.incarnation().startedAt().isPresent();
  }

  /** Removes all servers that {@code listed} doesn't contain, after the list was read again. */
  public void retain(Set<BackendServerId> listed) {
    unlisted(listed).forEach(this::remove);
  }

  /** Applies {@link #expireWithGrace} to all servers that {@code listed} doesn't contain. */
  public void expireUnlistedWithGrace(Set<BackendServerId> listed, Instant until) {
    unlisted(listed).forEach(id -> expireWithGrace(id, until));
  }

  private List<BackendServerId> unlisted(Set<BackendServerId> listed) {
    List<BackendServerId> unlisted = new ArrayList<>(servers.keySet());
    unlisted.removeAll(listed);
    return unlisted;
  }

  /**
   * The servers of a service that accept requests according to the list. Servers of a service that
   * no configuration contains are kept too, for a configuration that adds the service. The list is
   * the same object until {@link #changes} increases.
   */
  public List<BackendServer> ready(String service) {
    if (readyAtChanges != changes) {
      readyAtChanges = changes;
      readyByService.clear();
    }
    return readyByService.computeIfAbsent(
        service, name -> usable(name).filter(BackendServer::isListedAsReady).toList());
  }

  /**
   * The servers of a service that announced after {@code earliest} that they leave. They still
   * serve for a while.
   */
  public List<BackendServer> leaving(String service, Instant earliest) {
    return usable(service)
        .filter(server -> leavingSince.getOrDefault(server.id(), Instant.MIN).isAfter(earliest))
        .toList();
  }

  /** The number of processes that said in an answer that they leave. */
  public int announcedLeaves() {
    return announcedLeaves.size();
  }

  /** Whether servers of a service are listed, all of which leave. */
  public boolean areAllLeaving(String service) {
    return !byService.getOrDefault(service, Map.of()).isEmpty()
        && listed(service).noneMatch(BackendServer::isListedAsReady);
  }

  /** The listed servers of a service whose latest listing is valid and that are not evacuated. */
  private Stream<BackendServer> usable(String service) {
    return listed(service)
        .filter(server -> !unusable.contains(server.id()))
        .filter(server -> !isEvacuated(server));
  }

  private Stream<BackendServer> listed(String service) {
    return byService.getOrDefault(service, Map.of()).values().stream();
  }

  /** Whether a server may be sent requests of any kind, according to the list and the operator. */
  public boolean accepts(BackendServer server) {
    return server.isListedAsReady() && !unusable.contains(server.id()) && !isEvacuated(server);
  }

  /** Whether the operator has evacuated the server's data centre. */
  public boolean isEvacuated(BackendServer server) {
    return evacuatedDataCentres.contains(server.dataCentre());
  }

  /** Whether a service has ready servers, all of them in evacuated data centres. */
  public boolean areAllEvacuated(String service) {
    return !evacuatedDataCentres.isEmpty()
        && listed(service).anyMatch(BackendServer::isListedAsReady)
        && listed(service).filter(BackendServer::isListedAsReady).allMatch(this::isEvacuated);
  }

  /**
   * Sends no new requests to the servers of a data centre until {@link #endEvacuation}. Requests
   * that run there continue.
   *
   * @return whether the data centre was not evacuated before
   */
  public boolean evacuate(String dataCentre) {
    boolean added = evacuatedDataCentres.add(dataCentre);
    if (added) {
      onChange();
    }
    return added;
  }

  /**
   * Sends requests to the servers of a data centre again. They count as warming up until they say
   * otherwise.
   *
   * @return whether the data centre was evacuated before
   */
  public boolean endEvacuation(String dataCentre) {
    boolean removed = evacuatedDataCentres.remove(dataCentre);
    if (removed) {
      onChange();
      serversIn(dataCentre).forEach(server -> server.assumeWarmingUp(now));
    }
    return removed;
  }

  /** The data centres that the operator has evacuated. */
  public Set<String> evacuatedDataCentres() {
    return Set.copyOf(evacuatedDataCentres);
  }

  /** The listed servers in a data centre. */
  public List<BackendServer> serversIn(String dataCentre) {
    return servers.values().stream()
        .filter(server -> server.dataCentre().equals(dataCentre))
        .toList();
  }

  /** The listed server with an id. */
  public Optional<BackendServer> find(BackendServerId id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Whether this incarnation is listed; false once a later incarnation of its id is listed. */
  public boolean lists(ServerIncarnation incarnation) {
    BackendServer known = servers.get(incarnation.id());
    return known != null && known.incarnation().equals(incarnation);
  }

  /** All listed servers. */
  public Collection<BackendServer> all() {
    return servers.values();
  }

  /** A counter that increases whenever a server is listed, removed, or changes its readiness. */
  public long changes() {
    return changes;
  }

  /** A counter that increases whenever the load of this instance at any server changes. */
  public long loadChanges() {
    return loadChanges;
  }
}
