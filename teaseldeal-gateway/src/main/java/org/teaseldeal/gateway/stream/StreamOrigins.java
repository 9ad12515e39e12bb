package org.teaseldeal.gateway.stream;

import java.time.Instant;
import java.time.InstantSource;
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

  private final String instance;
  private final Supplier<Set<String>> fleet;
  private final StreamPeers peers;
  private final InstantSource clock;
  private final VersionHistory history;
  private final BooleanSupplier listIsCurrent;
  private final BooleanSupplier hearsPeers;
  private final IsolatedStreams isolatedStreams;
  private final StreamBackupChoice choice = new StreamBackupChoice();
  private final VersionTable versions = new VersionTable();
  private Set<String> announcedTo = Set.of();

  /**
   * Creates the knowledge of an instance.
   *
   * @param fleet the names of all instances; an unmodifiable set, which is replaced by another one
   *     at each change
   * @param listIsCurrent whether the list of servers was read a short time ago
   * @param hearsPeers whether messages of other instances arrive, or there is no other instance
   */
  public StreamOrigins(
      String instance,
      Supplier<Set<String>> fleet,
      StreamPeers peers,
      VersionHistory history,
      BooleanSupplier listIsCurrent,
      BooleanSupplier hearsPeers,
      InstantSource clock) {
    this.instance = instance;
    this.fleet = fleet;
    this.peers = peers;
    this.history = history;
    this.listIsCurrent = listIsCurrent;
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
   * The version of a stream that can only have begun at one version, whoever began it. Empty while
   * this instance can learn of other versions neither from the list of servers nor from the other
   * instances.
   */
  public Optional<String> onlyVersion(String service) {
    return listIsCurrent.getAsBoolean() || hearsPeers.getAsBoolean()
        ? history.onlyVersion(service)
        : Optional.empty();
  }

  /**
   * Determines the version of a stream, at once or as soon as an instance that knows it has
   * answered; {@code result} is called exactly once.
   *
   * <p>While the list of servers can't be read, other instances may know of versions that this one
   * doesn't, so they are asked before it concludes that there is only one.
   */
  public void resolve(StreamKey stream, String service, Consumer<Resolution> result) {
    Optional<String> stored = find(stream);
    if (stored.isPresent()) {
      result.accept(new Resolution.Known(stored.get(), Source.STORED));
      return;
    }
    Optional<String> only = onlyVersion(service);
    if (only.isPresent() && listIsCurrent.getAsBoolean()) {
      result.accept(new Resolution.Known(only.get(), Source.ONLY_VERSION));
      return;
    }
    ask(
        stream,
        resolution ->
            result.accept(
                resolution instanceof Resolution.Unknown && only.isPresent()
                    ? new Resolution.Known(only.get(), Source.ONLY_VERSION)
                    : resolution));
  }

  private void ask(StreamKey stream, Consumer<Resolution> result) {
    List<String> asked = choice.asked(stream.hash(), instance, fleet.get());
    if (asked.isEmpty()) {
      result.accept(new Resolution.Unknown(0));
      return;
    }
    Question question = new Question(stream, asked.size(), result);
    asked.forEach(name -> peers.ask(name, stream, question::onAnswer));
  }

  /** A question to several instances, which the first one that knows the stream answers. */
  private final class Question {
    private final StreamKey stream;
    private final Consumer<Resolution> result;
    private int pending;
    private int unreachable;
    private boolean answered;

    Question(StreamKey stream, int pending, Consumer<Resolution> result) {
      this.stream = stream;
      this.pending = pending;
      this.result = result;
    }

    void onAnswer(StreamPeers.Answer answer) {
      pending--;
      switch (answer) {
        case StreamPeers.Answer.Known known -> {
          if (!answered) {
            answered = true;
            onAnnounced(stream, known.version());
            result.accept(new Resolution.Known(known.version(), Source.PEER));
          }
        }
        case StreamPeers.Answer.Unknown unknown -> {}
        case StreamPeers.Answer.Unreachable lost -> unreachable++;
      }
      if (pending == 0 && !answered) {
        answered = true;
        result.accept(new Resolution.Unknown(unreachable));
      }
    }
  }
}
