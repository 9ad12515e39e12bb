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
 */
public final class VersionHistory implements LogParticipant {
  /** Callers come back within the deadline of their first attempt, of half a minute at most. */
  static final Duration LONGEST_STREAM = Duration.ofSeconds(30);

  private final String instance;
  private final ServerDirectory servers;
  private final InstantSource clock;
  private final InstantSource wallClock;

  /** When a version was last listed, by service and version. */
  private final Map<String, Map<String, Instant>> lastSeen = new HashMap<>();

  private final Map<String, Set<String>> listed = new HashMap<>();
  private final Set<String> unwritten = new HashSet<>();
  private long seenChanges = -1;
  private boolean notesLoaded;

  /**
   * Creates the history of an instance.
   *
   * @param clock a monotonic clock
   * @param wallClock a clock that goes on while no instance runs
   */
  public VersionHistory(
      String instance, ServerDirectory servers, InstantSource clock, InstantSource wallClock) {
    this.instance = instance;
    this.servers = servers;
    this.clock = clock;
    this.wallClock = wallClock;
  }

  /** Records changes of the list of servers. */
  public void tick() {
    if (seenChanges == servers.changes()) {
      return;
    }
    seenChanges = servers.changes();
    Instant now = clock.instant();
    Map<String, Set<String>> current = new HashMap<>();
    for (BackendServer server : servers.all()) {
      current
          .computeIfAbsent(server.service(), service -> new TreeSet<>())
          .add(server.softwareVersion());
    }
    listed.forEach(
        (service, versions) -> versions.forEach(version -> markSeen(service, version, now)));
    current.forEach(
        (service, versions) -> {
          versions.forEach(version -> markSeen(service, version, now));
          if (!versions.equals(listed.get(service))) {
            unwritten.add(service);
          }
        });
    listed.putAll(current);
    listed.keySet().retainAll(current.keySet());
    Instant earliest = now.minus(LONGEST_STREAM);
    lastSeen.values().forEach(seen -> seen.values().removeIf(at -> at.isBefore(earliest)));
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
    lastSeen
        .computeIfAbsent(service, key -> new HashMap<>())
        .merge(version, at, (one, other) -> one.isAfter(other) ? one : other);
  }

  @Override
  public void onNote(SharedNote note, boolean own) {
    if (!own && note instanceof ServiceVersions versions) {
      Instant now = clock.instant();
      versions
          .versions()
          .forEach(
              seen ->
                  markSeen(versions.service(), seen.version(), now.minusMillis(seen.millisAgo())));
    }
  }

  /** Notes of processes that have ended tell what they saw until then. */
  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    Map<String, Long> newest = new HashMap<>();
    List<ServiceVersions> ofServices = new ArrayList<>();
    for (SharedNote note : notes) {
      if (note instanceof ServiceVersions versions) {
        ofServices.add(versions);
        newest.merge(versions.service(), versions.wallMillis(), Math::max);
      }
    }
    for (ServiceVersions note : ofServices) {
      long newestMillis = newest.getOrDefault(note.service(), note.wallMillis());
      note.versions().forEach(seen -> markNoted(note, seen, newestMillis));
    }
    notesLoaded = true;
  }

  /**
   * Marks a version of a loaded note. A version that was listed when the newest note was written
   * may have been listed until now; one of an earlier note, until the newest note was written.
   */
  private void markNoted(ServiceVersions note, VersionSeen seen, long newestMillis) {
    Instant now = clock.instant();
    boolean present = seen.millisAgo() == 0;
    if (present && note.wallMillis() >= newestMillis) {
      markSeen(note.service(), seen.version(), now);
      return;
    }
    long at = present ? newestMillis : note.wallMillis() - seen.millisAgo();
    long age = Math.max(0, wallClock.millis() - at);
    markSeen(note.service(), seen.version(), now.minusMillis(age));
  }

  @Override
  public boolean awaitsPeerNotes() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    if (unwritten.isEmpty()) {
      return List.of();
    }
    List<SharedNote> notes = new ArrayList<>();
    unwritten.forEach(service -> notes.add(note(service, now)));
    unwritten.clear();
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
              long millisAgo = Math.max(1, Duration.between(at, now).toMillis());
              if (!present.contains(version) && millisAgo < LONGEST_STREAM.toMillis()) {
                versions.add(new VersionSeen(version, millisAgo));
              }
            });
    return new ServiceVersions(instance, service, wallClock.millis(), versions);
  }
}
