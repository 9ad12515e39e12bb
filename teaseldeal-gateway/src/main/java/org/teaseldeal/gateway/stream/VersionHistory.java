package org.teaseldeal.gateway.stream;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.teaseldeal.gateway.log.LogParticipant;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.log.SharedNote.ServiceVersions;
import org.teaseldeal.gateway.log.SharedNote.VersionSeen;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerDirectory;

/**
 * The software versions of which servers were listed lately, by service.
 *
 * <p>While all servers of a service have had the same version for longer than streams last, each
 * stream began at that version, whoever began it. This holds for streams of instances that have all
 * been killed, too, as the instances note the versions on the shared log whenever they change.
 *
 * <p>No clock tells how old a loaded note is, as the time of day may have been set. So a version in
 * it counts as listed until now, unless a later note says that no server of it has been listed for
 * longer than streams last.
 */
public final class VersionHistory implements LogParticipant {
  /** Callers come back within the deadline of their first attempt, of half a minute at most. */
  static final Duration LONGEST_STREAM = Duration.ofSeconds(30);

  /** Instances note at different times that a version is gone; the first note serves for all. */
  private static final Duration MAX_RETIREMENT_DELAY = Duration.ofSeconds(4);

  /** Bounds the gone versions of a service that notes name. */
  private static final int MAX_RETIRED = 16;

  private final String instance;
  private final ServerDirectory servers;
  private final Consumer<SharedNote> broadcast;
  private final InstantSource clock;
  private final InstantSource wallClock;
  private final Duration retirementDelay;

  /** When a version was last listed, by service and version. */
  private final Map<String, Map<String, Instant>> lastSeen = new HashMap<>();

  /** The versions by service of which no server has been listed for longer than streams last. */
  private final Map<String, Set<String>> retired = new HashMap<>();

  private final Map<String, Set<String>> listed = new HashMap<>();

  /** When a note about a service is to be written. */
  private final Map<String, Instant> writeAt = new HashMap<>();

  private long seenChanges = -1;
  private boolean notesLoaded;

  /**
   * Creates the history of an instance.
   *
   * @param broadcast sends a note to all other instances; it may be lost
   * @param clock a monotonic clock
   * @param wallClock tells the time of day at which a note was written, for its readers
   */
  public VersionHistory(
      String instance,
      ServerDirectory servers,
      Consumer<SharedNote> broadcast,
      InstantSource clock,
      InstantSource wallClock) {
    this.instance = instance;
    this.servers = servers;
    this.broadcast = broadcast;
    this.clock = clock;
    this.wallClock = wallClock;
    this.retirementDelay =
        Duration.ofMillis(
            Math.floorMod(instance.hashCode(), (int) MAX_RETIREMENT_DELAY.toMillis()));
  }

  /** Records changes of the list of servers, and retires versions. */
  public void tick() {
    Instant now = clock.instant();
    if (seenChanges != servers.changes()) {
      seenChanges = servers.changes();
      readList(now);
    }
    retire(now);
  }

  /** Returns when {@link #tick} is due again, unless the list changes before. */
  public Instant dueAt() {
    Instant due = Instant.MAX;
    for (Map.Entry<String, Map<String, Instant>> service : lastSeen.entrySet()) {
      for (Map.Entry<String, Instant> seen : service.getValue().entrySet()) {
        if (!isListed(service.getKey(), seen.getKey())) {
          Instant retiredAt = seen.getValue().plus(LONGEST_STREAM).plusMillis(1);
          due = retiredAt.isBefore(due) ? retiredAt : due;
        }
      }
    }
    return due;
  }

  private void readList(Instant now) {
    Map<String, Set<String>> current = new HashMap<>();
    for (BackendServer server : servers.all()) {
      current
          .computeIfAbsent(server.service(), service -> new TreeSet<>())
          .add(server.softwareVersion());
    }
    Set<String> changed = new HashSet<>();
    listed.forEach(
        (service, versions) -> versions.forEach(version -> markSeen(service, version, now)));
    current.forEach(
        (service, versions) -> {
          versions.forEach(version -> markSeen(service, version, now));
          if (!versions.equals(listed.get(service))) {
            changed.add(service);
          }
        });
    listed.putAll(current);
    listed.keySet().retainAll(current.keySet());
    for (String service : changed) {
      writeAt.put(service, now);
      broadcast.accept(note(service, now));
    }
  }

  private void retire(Instant now) {
    Instant earliest = now.minus(LONGEST_STREAM);
    lastSeen.forEach(
        (service, seen) ->
            seen.entrySet()
                .removeIf(
                    each -> {
                      boolean gone =
                          each.getValue().isBefore(earliest) && !isListed(service, each.getKey());
                      if (gone && addRetired(service, each.getKey())) {
                        writeAt.putIfAbsent(service, now.plus(retirementDelay));
                      }
                      return gone;
                    }));
  }

  /** Records that a loaded note calls a version gone, unless it was listed here lately. */
  private void addNotedAsRetired(String service, String version) {
    if (!lastSeen.getOrDefault(service, Map.of()).containsKey(version)) {
      addRetired(service, version);
    }
  }

  private boolean addRetired(String service, String version) {
    Set<String> versions = retired.computeIfAbsent(service, key -> new HashSet<>());
    return versions.size() < MAX_RETIRED && versions.add(version);
  }

  private boolean isListed(String service, String version) {
    return listed.getOrDefault(service, Set.of()).contains(version);
  }

  /**
   * The version of all servers that a stream of {@code service} can have begun at, if it is one.
   */
  public Optional<String> onlyVersion(String service) {
    tick();
    Set<String> versions = listed.getOrDefault(service, Set.of());
    if (!notesLoaded || versions.size() != 1) {
      return Optional.empty();
    }
    String only = versions.iterator().next();
    Instant earliest = clock.instant().minus(LONGEST_STREAM);
    boolean otherSeen =
        lastSeen.getOrDefault(service, Map.of()).entrySet().stream()
            .anyMatch(seen -> !seen.getKey().equals(only) && !seen.getValue().isBefore(earliest));
    return otherSeen ? Optional.empty() : Optional.of(only);
  }

  private void markSeen(String service, String version, Instant at) {
    Set<String> retiredHere = retired.get(service);
    if (retiredHere != null) {
      retiredHere.remove(version);
    }
    lastSeen
        .computeIfAbsent(service, key -> new HashMap<>())
        .merge(version, at, (one, other) -> one.isAfter(other) ? one : other);
  }

  /** Processes a note of another instance that arrived as a message. */
  public void onMessage(SharedNote note) {
    onNote(note, note.instance().equals(instance));
  }

  @Override
  public void onNote(SharedNote note, boolean own) {
    if (own || !(note instanceof ServiceVersions versions)) {
      return;
    }
    Instant now = clock.instant();
    for (VersionSeen seen : versions.versions()) {
      if (!isRetired(seen)) {
        markSeen(versions.service(), seen.version(), now.minusMillis(seen.millisAgo()));
      } else if (isRetiredHere(versions.service(), seen.version())) {
        withdrawRetirementNote(versions.service(), now);
      }
    }
  }

  private static boolean isRetired(VersionSeen seen) {
    return seen.millisAgo() >= LONGEST_STREAM.toMillis();
  }

  private boolean isRetiredHere(String service, String version) {
    return retired.getOrDefault(service, Set.of()).contains(version);
  }

  /** Another instance has noted that a version is gone. Notes of changes are written at once. */
  private void withdrawRetirementNote(String service, Instant now) {
    Instant due = writeAt.get(service);
    if (due != null && due.isAfter(now)) {
      writeAt.remove(service);
    }
  }

  /** Notes of processes that have ended tell what they saw until then. */
  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    Map<String, Set<String>> noted = new HashMap<>();
    for (SharedNote note : notes) {
      if (note instanceof ServiceVersions versions) {
        Set<String> ofService =
            noted.computeIfAbsent(versions.service(), service -> new HashSet<>());
        for (VersionSeen seen : versions.versions()) {
          if (!isRetired(seen)) {
            ofService.add(seen.version());
          } else {
            ofService.remove(seen.version());
            addNotedAsRetired(versions.service(), seen.version());
          }
        }
      }
    }
    Instant now = clock.instant();
    noted.forEach(
        (service, versions) -> versions.forEach(version -> markSeen(service, version, now)));
    notesLoaded = true;
  }

  @Override
  public boolean awaitsPeerNotes() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    if (writeAt.isEmpty()) {
      return List.of();
    }
    List<SharedNote> notes = new ArrayList<>();
    writeAt
        .entrySet()
        .removeIf(
            each -> {
              boolean due = !now.isBefore(each.getValue());
              if (due) {
                notes.add(note(each.getKey(), now));
              }
              return due;
            });
    return notes;
  }

  private ServiceVersions note(String service, Instant now) {
    Set<String> present = listed.getOrDefault(service, Set.of());
    List<VersionSeen> versions = new ArrayList<>();
    present.forEach(version -> versions.add(new VersionSeen(version, 0)));
    lastSeen
        .getOrDefault(service, Map.of())
        .forEach(
            (version, at) -> {
              if (!present.contains(version)) {
                versions.add(new VersionSeen(version, millisAgo(at, now)));
              }
            });
    retired
        .getOrDefault(service, Set.of())
        .forEach(version -> versions.add(new VersionSeen(version, LONGEST_STREAM.toMillis())));
    return new ServiceVersions(instance, service, wallClock.millis(), versions);
  }

  /** The age of a version that isn't retired yet. */
  private static long millisAgo(Instant at, Instant now) {
    return Math.clamp(Duration.between(at, now).toMillis(), 1, LONGEST_STREAM.toMillis() - 1);
  }
}
