package org.teaseldeal.gateway.stream;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.teaseldeal.decisions.StreamBackupChoice;
import org.teaseldeal.gateway.log.LogParticipant;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * Knows at which software version of the backend servers streams began.
 *
 * <p>A stream may go on only at the version that began it. The instance that began it may be gone
 * when its caller takes the stream up at another one, so it tells the version to others as soon as
 * the first event is handed to the caller. Which ones follows from the stream's key, so that any
 * instance can ask them. An instance that hears no other notes its streams on the shared log. A
 * version that nobody knows is never guessed.
 */
public final class StreamOrigins implements LogParticipant {
  /** How a version became known. The name appears in logs and metrics. */
  public enum Source {
    /** This instance began the stream, or was told of it. */
    STORED,
    /** All servers have had the same version for longer than streams last. */
    ONLY_VERSION,
    /** Another instance answered. */
    PEER
  }

  /** Whether the version of a stream is known. */
  public sealed interface Resolution {
    /** The stream began at {@code version}. */
    record Known(String version, Source source) implements Resolution {}

    /**
     * No instance that answered knows the stream.
     *
     * @param unreachable the number of instances that were asked and did not answer
     */
    record Unknown(int unreachable) implements Resolution {}
  }

  /** A list that was read longer ago may lack servers that serve by now. */
  private static final Duration MAX_LIST_AGE = Duration.ofSeconds(2);

  /** How long the next read of the list may take; reads begin several times a second. */
  private static final Duration LIST_WAIT = Duration.ofSeconds(1);

  private static final Duration IDLE_INTERVAL = Duration.ofMillis(100);

  private final String instance;
  private final Supplier<Set<String>> fleet;
  private final StreamPeers peers;
  private final InstantSource clock;
  private final VersionHistory history;
  private final Supplier<Instant> listReadBegunAt;
  private final BooleanSupplier hearsPeers;
  private final IsolatedStreams isolatedStreams;
  private final StreamBackupChoice choice = new StreamBackupChoice();
  private final VersionTable versions = new VersionTable();
  private final List<Conclusion> conclusions = new ArrayList<>();
  private Set<String> announcedTo = Set.of();

  /**
   * Creates the knowledge of an instance.
   *
   * @param fleet the names of all instances; an unmodifiable set, which is replaced by another one
   *     at each change
   * @param listReadBegunAt when the newest completed read of the list of servers was begun
   * @param hearsPeers whether messages of other instances arrive, or there is no other instance
   */
  public StreamOrigins(
      String instance,
      Supplier<Set<String>> fleet,
      StreamPeers peers,
      VersionHistory history,
      Supplier<Instant> listReadBegunAt,
      BooleanSupplier hearsPeers,
      InstantSource clock) {
    this.instance = instance;
    this.fleet = fleet;
    this.peers = peers;
    this.history = history;
    this.listReadBegunAt = listReadBegunAt;
    this.hearsPeers = hearsPeers;
    this.isolatedStreams = new IsolatedStreams(instance, hearsPeers);
    this.clock = clock;
  }

  /** Records that a stream's first event is handed to its caller, and tells other instances. */
  public void onBegun(StreamKey stream, String version) {
    Instant now = clock.instant();
    versions.put(stream, version, true, now);
    isolatedStreams.onBegun(stream, version, now);
    choice
        .backups(stream.hash(), instance, fleet.get())
        .forEach(name -> peers.announce(name, stream, version));
  }

  /** Records what another instance has told. */
  public void onAnnounced(StreamKey stream, String version) {
    versions.put(stream, version, false, clock.instant());
  }

  /**
   * Tells instances that have joined since the last call of the streams that they are to know.
   * Otherwise nobody might know the streams of an instance that has told only instances that were
   * replaced since.
   */
  public void tick() {
    isolatedStreams.tick(clock.instant());
    conclude();
    Set<String> current = fleet.get();
    if (current == announcedTo) {
      return;
    }
    Set<String> before = announcedTo;
    announcedTo = current;
    versions.forEachBegunHere(
        (stream, version) ->
            choice.backups(stream.hash(), instance, current).stream()
                .filter(name -> !before.contains(name))
                .forEach(name -> peers.announce(name, stream, version)));
  }

  /** Returns when {@link #tick} is due again. */
  public Instant dueAt() {
    return conclusions.isEmpty() ? clock.instant().plus(IDLE_INTERVAL) : Instant.MIN;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    return isolatedStreams.notesToWrite(now);
  }

  @Override
  public void onNote(SharedNote note, boolean own) {
    if (!own && note instanceof SharedNote.StreamVersions noted) {
      noted.streams().forEach(each -> onAnnounced(new StreamKey(each.stream()), each.version()));
    }
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    notes.forEach(note -> onNote(note, !first && note.instance().equals(instance)));
  }

  @Override
  public boolean awaitsPeerNotes() {
    return false;
  }

  /** The version of a stream as far as this instance knows it. */
  public Optional<String> find(StreamKey stream) {
    return versions.find(stream, clock.instant());
  }

  /** The number of streams whose version is stored. */
  public int storedStreams() {
    return versions.size();
  }

  /**
   * The version of a stream that can only have begun at one version, as far as this instance knows.
   * Empty while it can learn of other versions neither from the list of servers nor from the other
   * instances.
   */
  Optional<String> onlyVersion(String service) {
    return listReadSince(clock.instant().minus(MAX_LIST_AGE)) || hearsPeers.getAsBoolean()
        ? history.onlyVersion(service)
        : Optional.empty();
  }

  /** Returns whether this instance knows all servers that were listed before {@code since}. */
  private boolean listReadSince(Instant since) {
    return !listReadBegunAt.get().isBefore(since);
  }

  /**
   * Determines the version of a stream, at once or as soon as an instance that knows it has
   * answered; {@code result} is called exactly once.
   *
   * <p>Another instance may have used a server of a version that this one hasn't seen: it read the
   * list later, or this one stood still. So the other instances are asked, and if none knows the
   * stream, it is concluded that there is only one version from a list that was read after the
   * request arrived, since the stream began before. If the list can't be read, the answer of an
   * instance that hears of new versions has to do.
   */
  public void resolve(StreamKey stream, String service, Consumer<Resolution> result) {
    Optional<String> stored = find(stream);
    if (stored.isPresent()) {
      result.accept(new Resolution.Known(stored.get(), Source.STORED));
      return;
    }
    Conclusion conclusion = new Conclusion(service, clock.instant(), result);
    if (conclusion.isOnlyVersionCertain()) {
      concludeOrWait(conclusion);
      return;
    }
    List<String> asked = choice.asked(stream.hash(), instance, fleet.get());
    if (asked.isEmpty()) {
      concludeOrWait(conclusion);
      return;
    }
    Question question = new Question(stream, asked.size(), conclusion);
    asked.forEach(name -> peers.ask(name, stream, question::onAnswer));
  }

  /**
   * Determines the version of a stream that its caller doesn't name, so that no instance can be
   * asked for it; see {@link #resolve}.
   */
  public void resolveUnnamed(String service, Consumer<Resolution> result) {
    concludeOrWait(new Conclusion(service, clock.instant(), result));
  }

  /** Ends a request for a version now if it can be decided, and otherwise in a later tick. */
  private void concludeOrWait(Conclusion conclusion) {
    Optional<Resolution> decided = conclusion.decide(clock.instant());
    if (decided.isPresent()) {
      conclusion.result.accept(decided.get());
    } else {
      conclusions.add(conclusion);
    }
  }

  private void conclude() {
    List<Conclusion> waiting = List.copyOf(conclusions);
    conclusions.clear();
    waiting.forEach(this::concludeOrWait);
  }

  /** A stream that no instance knows, until it is known whether there is only one version. */
  private final class Conclusion {
    private final String service;
    private final Instant since;
    private final Consumer<Resolution> result;
    private int answers;
    private int unreachable;

    Conclusion(String service, Instant since, Consumer<Resolution> result) {
      this.service = service;
      this.since = since;
      this.result = result;
    }

    /** Whether a list that was read since the request arrived has only one version. */
    boolean isOnlyVersionCertain() {
      return listReadSince(since) && onlyVersion(service).isPresent();
    }

    /** Returns the version, or that it is unknown; empty if the list may still tell. */
    Optional<Resolution> decide(Instant now) {
      Optional<String> only = onlyVersion(service);
      boolean listRead = listReadSince(since);
      if (only.isPresent() && !listRead && now.isBefore(since.plus(LIST_WAIT))) {
        return Optional.empty();
      }
      boolean heard = answers > 0 || fleet.get().size() <= 1;
      boolean certain = listRead || (heard && hearsPeers.getAsBoolean());
      return Optional.of(
          only.isPresent() && certain
              ? new Resolution.Known(only.get(), Source.ONLY_VERSION)
              : new Resolution.Unknown(unreachable));
    }
  }

  /** A question to several instances, which the first one that knows the stream answers. */
  private final class Question {
    private final StreamKey stream;
    private final Conclusion conclusion;
    private int pending;
    private boolean answered;

    Question(StreamKey stream, int pending, Conclusion conclusion) {
      this.stream = stream;
      this.pending = pending;
      this.conclusion = conclusion;
    }

    void onAnswer(StreamPeers.Answer answer) {
      pending--;
      switch (answer) {
        case StreamPeers.Answer.Known known -> {
          if (!answered) {
            answered = true;
            onAnnounced(stream, known.version());
            conclusion.result.accept(new Resolution.Known(known.version(), Source.PEER));
          }
        }
        case StreamPeers.Answer.Unknown unknown -> conclusion.answers++;
        case StreamPeers.Answer.Unreachable lost -> conclusion.unreachable++;
      }
      if (pending == 0 && !answered) {
        answered = true;
        concludeOrWait(conclusion);
      }
    }
  }
}
