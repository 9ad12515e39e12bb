package org.teaseldeal.gateway.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.teaseldeal.gateway.log.SharedNote;

/**
 * The streams that began while this instance hears no other.
 *
 * <p>Their callers may take them up at instances that can't be told, but that read the shared log.
 */
final class IsolatedStreams {
  /**
   * Streams that began within this time before the isolation was noticed, which takes a second, are
   * noted on the log too.
   */
  private static final Duration UNNOTICED_ISOLATION = Duration.ofSeconds(2);

  private static final Duration NOTE_INTERVAL = Duration.ofMillis(250);

  /** The streams of one note take some tens of kilobytes at most. */
  private static final int MAX_STREAMS_PER_NOTE = 1_000;

  private record BegunStream(StreamKey stream, String version, Instant at) {}

  private final String instance;
  private final BooleanSupplier hearsPeers;

  /** In the order in which the streams began. */
  private final Deque<BegunStream> unnoted = new ArrayDeque<>();

  private Instant nextNoteAt = Instant.MIN;

  IsolatedStreams(String instance, BooleanSupplier hearsPeers) {
    this.instance = instance;
    this.hearsPeers = hearsPeers;
  }

  void onBegun(StreamKey stream, String version, Instant now) {
    unnoted.addLast(new BegunStream(stream, version, now));
  }

  /** Discards the streams that other instances were told of while they could be reached. */
  void tick(Instant now) {
    Instant earliest = now.minus(UNNOTICED_ISOLATION);
    boolean isolated = !hearsPeers.getAsBoolean();
    while (!unnoted.isEmpty()
        && (unnoted.size() > MAX_STREAMS_PER_NOTE
            || (!isolated && unnoted.getFirst().at().isBefore(earliest)))) {
      unnoted.removeFirst();
    }
  }

  /** Returns a note of the streams that are not noted yet, if one is due. */
  List<SharedNote> notesToWrite(Instant now) {
    if (unnoted.isEmpty() || now.isBefore(nextNoteAt) || hearsPeers.getAsBoolean()) {
      return List.of();
    }
    nextNoteAt = now.plus(NOTE_INTERVAL);
    List<SharedNote.VersionOfStream> streams =
        unnoted.stream()
            .map(each -> new SharedNote.VersionOfStream(each.stream().hash(), each.version()))
            .toList();
    unnoted.clear();
    return List.of(new SharedNote.StreamVersions(instance, streams));
  }
}
