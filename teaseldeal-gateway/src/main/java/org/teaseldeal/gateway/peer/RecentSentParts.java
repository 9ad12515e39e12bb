package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The prompt parts that were recently received and are to be forwarded, each once. */
final class RecentSentParts {
  /** As many parts as fit into a datagram in addition to the loads. */
  private static final int MAX_PARTS = 128;

  /** Longer than a sender repeats a part, so that no part is forwarded twice. */
  private static final Duration RETENTION = Duration.ofMillis(500);

  private record Entry(LoadMessage.SentPart part, Instant addedAt) {}

  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Set<LoadMessage.SentPart> known = new HashSet<>();

  /** Adds a part unless it is present; the oldest part is evicted if there are too many. */
  void add(LoadMessage.SentPart part, Instant now) {
    forgetBefore(now.minus(RETENTION));
    if (known.add(part)) {
      entries.addLast(new Entry(part, now));
    }
    if (entries.size() > MAX_PARTS) {
      known.remove(entries.removeFirst().part());
    }
  }

  private void forgetBefore(Instant earliest) {
    while (!entries.isEmpty() && entries.getFirst().addedAt().isBefore(earliest)) {
      known.remove(entries.removeFirst().part());
    }
  }

  /** The parts that were added at or after {@code earliest}. */
  List<LoadMessage.SentPart> addedSince(Instant earliest) {
    return entries.stream()
        .filter(entry -> !entry.addedAt().isBefore(earliest))
        .map(Entry::part)
        .toList();
  }
}
