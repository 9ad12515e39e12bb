package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Parts of prompts that were heard of a moment ago, to be passed on; each once. */
final class RecentParts {
  /** Bounds what is passed on: as many as fit into a datagram beside the loads. */
  private static final int MOST = 128;

  /** Longer than whoever tells of a part repeats it. */
  private static final Duration KEPT = Duration.ofMillis(500);

  private record Entry(LoadNews.SentPart part, Instant at) {}

  private final Deque<Entry> entries = new ArrayDeque<>();
  private final Set<LoadNews.SentPart> known = new HashSet<>();

  /** Adds a part unless it is there; the oldest makes room. */
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

  /** What was added since {@code earliest}. */
  List<LoadNews.SentPart> since(Instant earliest) {
    return entries.stream()
        .filter(entry -> !entry.at().isBefore(earliest))
        .map(Entry::part)
        .toList();
  }
}
