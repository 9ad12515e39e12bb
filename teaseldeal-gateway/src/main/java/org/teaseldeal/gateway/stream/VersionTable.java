package org.teaseldeal.gateway.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/** The software versions at which streams began, for as long as their callers may come back. */
final class VersionTable {
  private static final Duration RETENTION = VersionHistory.LONGEST_STREAM;

  /**
   * Limits memory use to some megabytes. An instance stores the streams of two others besides its
   * own, up to some hundred a second. The oldest streams are dropped first, as most have ended.
   */
  private static final int MAX_STREAMS = 20_000;

  private record Entry(String version, Instant storedAt, boolean begunHere) {}

  /** In the order in which the streams were stored last. */
  private final Map<StreamKey, Entry> entries = new LinkedHashMap<>();

  /**
   * Stores a stream.
   *
   * @param begunHere whether this instance has handed events of the stream to its caller
   */
  void put(StreamKey stream, String version, boolean begunHere, Instant now) {
    Entry earlier = entries.remove(stream);
    boolean here = begunHere || (earlier != null && earlier.begunHere());
    entries.put(stream, new Entry(version, now, here));
    removeOldest(now);
  }

  /** Passes all streams that this instance has begun to {@code consumer}. */
  void forEachBegunHere(BiConsumer<StreamKey, String> consumer) {
    entries.forEach(
        (stream, entry) -> {
          if (entry.begunHere()) {
            consumer.accept(stream, entry.version());
          }
        });
  }

  Optional<String> find(StreamKey stream, Instant now) {
    removeOldest(now);
    return Optional.ofNullable(entries.get(stream)).map(Entry::version);
  }

  int size() {
    return entries.size();
  }

  private void removeOldest(Instant now) {
    Iterator<Entry> oldestFirst = entries.values().iterator();
    while (oldestFirst.hasNext()) {
      Entry oldest = oldestFirst.next();
      boolean expired = !now.isBefore(oldest.storedAt().plus(RETENTION));
      if (!expired && entries.size() <= MAX_STREAMS) {
        return;
      }
      oldestFirst.remove();
    }
  }
}
