package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The prompt parts that were recently received and are to be forwarded, each once. */
final class RecentParts {
  /** As many parts as fit into a datagram in addition to the loads. */
  private static final int MOST = 128;

  /** Longer than a sender repeats a part, so that no part is forwarded twice. */
  private static final Duration KEPT = Duration.ofMillis(500);

  private record Entry(LoadNews.SentPart part, Instant at) {}

  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Set<LoadNews.SentPart> known = new HashSet<>();

  /** Adds a part unless it is present; the oldest part is evicted if there are too many. */
  void add(LoadNews.SentPart part, Instant now) {
    forgetBefore(now.minus(KEPT));
    if (known.add(part)) {
      entries.addLast(new Entry(part, now));
    }
    if (entries.size() > MOST) {
      known.remove(entries.removeFirst().part());
    }
  }

  private void forgetBefore(Instant earliest) {
    while (!entries.isEmpty() && entries.getFirst().at().isBefore(earliest)) {
      known.remove(entries.removeFirst().part());
    }
  }

  /** The parts that were added at or after {@code earliest}. */
  List<LoadNews.SentPart> since(Instant earliest) {
    return entries.stream()
        .filter(entry -> !entry.at().isBefore(earliest))
        .map(Entry::part)
        .toList();
  }
}
