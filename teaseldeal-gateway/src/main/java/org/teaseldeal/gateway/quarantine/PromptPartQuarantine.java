package org.teaseldeal.gateway.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.teaseldeal.decisions.CrashAttribution;
import org.teaseldeal.decisions.QuarantineTrials;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.LogParticipant;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Quarantines parts of prompts that crash each backend server that begins to answer them.
 *
 * <p>{@link CrashAttribution} decides. This class gathers its evidence: which parts were about to
 * be answered when a server crashed, and which parts were answered. Each instance sees only some of
 * the requests, so the instances tell each other, in messages for speed and on the shared log for
 * instances that are started later or don't receive the messages. All evidence is a set that only
 * grows, so its order doesn't matter and it may arrive twice.
 */
public final class PromptPartQuarantine implements LogParticipant {
  /**
   * How long crashes are remembered after the last request that was refused because of them. If the
   * quarantine ended while such requests still come, they would crash further servers.
   */
  private static final Duration RETENTION = Duration.ofHours(1);

  /** How long a part counts as known to be sound after an answer. */
  private static final Duration KNOWN_FOR = Duration.ofSeconds(30);

  private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

  /** Limits memory use; more parts than are in steady use at one instance. */
  private static final int MAX_ANSWERED_PARTS = 4_000;

  /** Limits the size of a note; more parts than begin to be answered at one server at a time. */
  private static final int MAX_PARTS_OF_CRASH = 500;

  /** The number of crashes of a part from which on a request with it isn't repeated. */
  private static final int REPEATEDLY = CrashAttribution.CRASH_LIMIT - 1;

  /**
   * The longest time after which others are told that a part was answered. All instances see a
   * common part answered at about the same time; each waits for a random time, and only the first
   * ones tell the others.
   */
  private static final Duration MAX_NOTE_DELAY = Duration.ofMillis(500);

  private final String instance;
  private final Supplier<Set<String>> instances;
  private final Predicate<ServerIncarnation> listed;
  private final Consumer<SharedNote> broadcast;
  private final EventSink events;
  private final InstantSource clock;
  private final InstantSource wallClock;
  private final RandomGenerator random;
  private final CrashAttribution attribution = new CrashAttribution(RETENTION);
  private final PendingCrashes<Set<String>> pending = new PendingCrashes<>();
  private final Map<String, SharedNote.ServerCrash> ownCrashes = new HashMap<>();
  private final Map<String, Set<String>> ownCleared = new HashMap<>();

  /** The crashes of which the notes of any instance clear a part. */
  private final Map<String, Set<String>> notedCleared = new HashMap<>();

  /** When others are to be told that a part was answered, unless they are told before. */
  private final Map<String, Instant> clearedNotesDueAt = new HashMap<>();

  private final QuarantineTrials trials = new QuarantineTrials();
  private final Map<String, SharedNote> notesDue = new LinkedHashMap<>();
  private final Set<String> reported = new HashSet<>();
  private final Map<String, Instant> answeredAt =
      new LinkedHashMap<>(64, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Instant> eldest) {
          return size() > MAX_ANSWERED_PARTS;
        }
      };
  private Instant nextExpiry = Instant.MIN;

  /**
   * Creates the quarantine of {@code instance}.
   *
   * @param instances the names of all instances
   * @param listed whether an incarnation of a server is listed
   * @param broadcast sends a note to all other instances; it may be lost
   * @param clock never goes back
   * @param wallClock shows the time of day, which is about the same at all instances
   * @param random spreads the notes of several instances about the same answers
   */
  public PromptPartQuarantine(
      String instance,
      Supplier<Set<String>> instances,
      Predicate<ServerIncarnation> listed,
      Consumer<SharedNote> broadcast,
      EventSink events,
      InstantSource clock,
      InstantSource wallClock,
      RandomGenerator random) {
    this.instance = instance;
    this.instances = instances;
    this.listed = listed;
    this.broadcast = broadcast;
    this.events = events;
    this.clock = clock;
    this.wallClock = wallClock;
    this.random = random;
  }

  /** The number of parts that are quarantined, as far as they were found to be. */
  public int quarantinedParts() {
    return reported.size();
  }

  /**
   * Returns the part because of which a request must not be sent to a server, if there is one.
   *
   * @param parts the ids of the shared parts of its prompt
   */
  public Optional<String> quarantinedPart(List<String> parts) {
    if (attribution.isEmpty() || parts.isEmpty()) {
      return Optional.empty();
    }
    Instant now = clock.instant();
    List<String> keys = PartKeys.of(parts);
    Set<String> answeredLately = keys.stream().filter(this::isKnown).collect(Collectors.toSet());
    Optional<String> found =
        attribution
            .suspect(keys, answeredLately, now)
            .filter(
                suspect ->
                    suspect.certain()
                        || !QuarantineTrials.tests(suspect.part(), instance, instances.get()))
            .map(CrashAttribution.Suspect::part);
    found.ifPresent(part -> attribution.keep(part, now));
    found.ifPresent(this::report);
    return found;
  }

  /**
   * Returns whether a request with a quarantined part is sent all the same, to find out whether the
   * part is sound.
   *
   * @param part as returned by {@link #quarantinedPart}
   */
  public boolean takeTrial(String part) {
    return attribution
        .lastCrashOf(part)
        .map(
            lastCrash ->
                trials.take(
                    part,
                    attribution.countOf(part),
                    lastCrash,
                    instance,
                    instances.get(),
                    wallClock.instant()))
        .orElse(false);
  }

  /**
   * Returns whether a request that was lost with its server should not be repeated yet, because it
   * may have crashed it.
   */
  public boolean isSuspected(List<String> parts) {
    return PartKeys.of(parts).stream()
        .anyMatch(
            part ->
                !isKnown(part)
                    && (attribution.countOf(part) > 0
                        || pending.contains(lost -> lost.contains(part))));
  }

  /** Returns whether a part of a request's prompt is implicated in several crashes. */
  public boolean isRepeatedlyImplicated(List<String> parts) {
    return PartKeys.of(parts).stream()
        .anyMatch(part -> !isKnown(part) && attribution.countOf(part) >= REPEATEDLY);
  }

  /** Records that the connection of a request broke when its answer was about to begin. */
  public void onConnectionLost(List<String> parts, ServerIncarnation server) {
    if (!parts.isEmpty()) {
      pending.add(Set.copyOf(PartKeys.of(parts)), server, clock.instant());
    }
  }

  /** Records that a server can't be connected to: connections that broke there count as crashes. */
  public void onUnreachable(ServerIncarnation server) {
    record(pending.takeCrashed(server::equals), CrashProof.UNREACHABLE);
  }

  /** Records that a server has answered a request, which clears the parts of its prompt. */
  public void onAnswered(List<String> parts) {
    Instant now = clock.instant();
    for (String part : PartKeys.of(parts)) {
      answeredAt.put(part, now);
      if (!attribution.isEmpty()) {
        clear(part);
      }
    }
  }

  private void clear(String part) {
    Set<String> crashes = attribution.crashesOf(part);
    if (crashes.isEmpty()) {
      return;
    }
    attribution.onCleared(part, crashes);
    onPartCleared(part, crashes.size());
    long delayMillis = random.nextLong(MAX_NOTE_DELAY.toMillis());
    clearedNotesDueAt.putIfAbsent(part, clock.instant().plusMillis(delayMillis));
  }

  /**
   * Tells others which crashes a part has not caused, unless another instance has told it. The
   * crashes are told without the answers, so whoever is told of them later has to know the answers
   * too; otherwise it would refuse a part that is in use everywhere.
   */
  private void noteClearedParts() {
    Instant now = clock.instant();
    List<String> due =
        clearedNotesDueAt.entrySet().stream()
            .filter(each -> !each.getValue().isAfter(now))
            .map(Map.Entry::getKey)
            .toList();
    for (String part : due) {
      clearedNotesDueAt.remove(part);
      Set<String> crashes = attribution.clearedCrashesOf(part);
      if (!notedCleared.getOrDefault(part, Set.of()).containsAll(crashes)) {
        Set<String> cleared = ownCleared.computeIfAbsent(part, id -> new TreeSet<>());
        cleared.addAll(crashes);
        notedCleared.computeIfAbsent(part, id -> new HashSet<>()).addAll(crashes);
        publish(new SharedNote.ClearedPart(instance, part, List.copyOf(cleared)));
      }
    }
  }

  /** Counts crashes of servers that are gone from the list or were replaced, and drops old ones. */
  public void tick() {
    if (!pending.isEmpty()) {
      record(pending.takeCrashed(server -> !listed.test(server)), CrashProof.NOT_LISTED);
      pending.expire(clock.instant());
    }
    if (!clearedNotesDueAt.isEmpty()) {
      noteClearedParts();
    }
    if (!attribution.isEmpty()) {
      expire();
    }
  }

  private void record(List<PendingCrashes.Lost<Set<String>>> crashed, CrashProof proof) {
    Map<ServerIncarnation, List<PendingCrashes.Lost<Set<String>>>> byServer =
        crashed.stream().collect(Collectors.groupingBy(PendingCrashes.Lost::server));
    byServer.forEach((server, lost) -> recordCrash(server, lost, proof));
  }

  private void recordCrash(
      ServerIncarnation server, List<PendingCrashes.Lost<Set<String>>> lost, CrashProof proof) {
    Instant now = clock.instant();
    Instant first = lost.getFirst().at();
    Duration age = Duration.between(first, now);
    String key = PartKeys.crashKey(server);
    SharedNote.ServerCrash earlier = ownCrashes.get(key);
    Set<String> parts = new TreeSet<>();
    lost.forEach(each -> parts.addAll(each.subject()));
    if (earlier != null) {
      parts.addAll(earlier.parts());
    }
    List<String> limited = parts.stream().limit(MAX_PARTS_OF_CRASH).toList();
    long wallMillis =
        earlier == null ? wallClock.instant().minus(age).toEpochMilli() : earlier.wallMillis();
    SharedNote.ServerCrash note = new SharedNote.ServerCrash(instance, key, wallMillis, limited);
    ownCrashes.put(key, note);
    events.accept(
        new GatewayEvent.PartsImplicated(
            server.id().name(), proof.name(), String.join(",", limited), age));
    apply(note);
    publish(note);
  }

  private void publish(SharedNote note) {
    writeLater(note);
    broadcast.accept(note);
  }

  /** Writes a note to the shared log, unless a later one replaces it before. */
  private void writeLater(SharedNote note) {
    String key =
        switch (note) {
          case SharedNote.ServerCrash crash -> "crash " + crash.server();
          case SharedNote.ClearedPart cleared -> "part " + cleared.part();
          default -> throw new IllegalArgumentException("unexpected note " + note);
        };
    notesDue.put(key, note);
  }

  /** Processes a note of another instance that arrived as a message. */
  public void onMessage(SharedNote note) {
    if (!note.instance().equals(instance)) {
      onNote(note, false);
    }
  }

  @Override
  public void onNote(SharedNote note, boolean own) {
    if (own) {
      return;
    }
    switch (note) {
      case SharedNote.ServerCrash crash -> apply(crash);
      case SharedNote.ClearedPart cleared -> apply(cleared);
      default -> {}
    }
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    for (SharedNote note : notes) {
      boolean own = note.instance().equals(instance);
      if (own && first) {
        adopt(note);
      }
      onNote(note, own && !first);
    }
  }

  /** Takes over a note of an earlier process of this instance, to withdraw it when it expires. */
  private void adopt(SharedNote note) {
    switch (note) {
      case SharedNote.ServerCrash crash -> ownCrashes.put(crash.server(), crash);
      case SharedNote.ClearedPart cleared ->
          ownCleared
              .computeIfAbsent(cleared.part(), id -> new TreeSet<>())
              .addAll(cleared.crashes());
      default -> {}
    }
  }

  private void apply(SharedNote.ServerCrash crash) {
    if (crash.parts().isEmpty()) {
      return;
    }
    Instant now = clock.instant();
    attribution.onCrash(
        crash.server(), Instant.ofEpochMilli(crash.wallMillis()), crash.parts(), now);
    crash.parts().stream()
        .filter(part -> attribution.exceedsLimit(part, isKnown(part), now))
        .forEach(this::report);
  }

  /** Logs that a part is quarantined, once. */
  private void report(String part) {
    if (reported.add(part)) {
      events.accept(
          new GatewayEvent.PartQuarantined(
              part,
              attribution.countOf(part),
              String.join(",", new TreeSet<>(attribution.crashesOf(part)))));
    }
  }

  private void apply(SharedNote.ClearedPart cleared) {
    if (!cleared.crashes().isEmpty()) {
      notedCleared.computeIfAbsent(cleared.part(), id -> new HashSet<>()).addAll(cleared.crashes());
    }
    attribution.onCleared(cleared.part(), cleared.crashes());
    onPartCleared(cleared.part(), cleared.crashes().size());
  }

  private void onPartCleared(String part, int crashes) {
    if (reported.contains(part)
        && !attribution.exceedsLimit(part, isKnown(part), clock.instant())) {
      reported.remove(part);
      events.accept(new GatewayEvent.PartCleared(part, crashes));
    }
  }

  @Override
  public boolean awaitsPeerNotes() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    List<SharedNote> notes = List.copyOf(notesDue.values());
    notesDue.clear();
    return notes;
  }

  private void expire() {
    Instant now = clock.instant();
    if (now.isBefore(nextExpiry)) {
      return;
    }
    nextExpiry = now.plus(EXPIRY_INTERVAL);
    Set<String> expired = attribution.expire(now);
    if (expired.isEmpty()) {
      return;
    }
    for (String crash : expired) {
      if (ownCrashes.remove(crash) != null) {
        writeLater(new SharedNote.ServerCrash(instance, crash, 0, List.of()));
      }
    }
    for (String part : List.copyOf(ownCleared.keySet())) {
      Set<String> cleared = ownCleared.get(part);
      if (cleared != null && cleared.removeAll(expired)) {
        writeLater(new SharedNote.ClearedPart(instance, part, List.copyOf(cleared)));
        ownCleared.remove(part, Set.of());
      }
    }
    notedCleared.values().forEach(cleared -> cleared.removeAll(expired));
    notedCleared.values().removeIf(Set::isEmpty);
    trials.retain(part -> !attribution.crashesOf(part).isEmpty());
    reported.removeIf(part -> attribution.crashesOf(part).isEmpty());
  }

  private boolean isKnown(String part) {
    Instant at = answeredAt.get(part);
    return at != null && clock.instant().isBefore(at.plus(KNOWN_FOR));
  }
}
