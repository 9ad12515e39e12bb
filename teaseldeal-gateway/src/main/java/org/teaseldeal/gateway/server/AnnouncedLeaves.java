package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The processes of servers that said in an answer that they leave.
 *
 * <p>The list may show such a process as ready for as long as it can't be written, or list it again
 * after its entry had expired.
 */
final class AnnouncedLeaves {
  /** How long a process that isn't listed is remembered. */
  private static final Duration RETENTION = Duration.ofMinutes(2);

  private final Map<ServerIncarnation, Instant> lastListedAt = new HashMap<>();

  /** Records that a process leaves; returns whether that is new. */
  boolean add(ServerIncarnation incarnation, Instant now) {
    return lastListedAt.putIfAbsent(incarnation, now) == null;
  }

  boolean contains(ServerIncarnation incarnation) {
    return lastListedAt.containsKey(incarnation);
  }

  int size() {
    return lastListedAt.size();
  }

  void remove(ServerIncarnation incarnation) {
    lastListedAt.remove(incarnation);
  }

  /** Forgets the processes that have not been listed for a while. */
  void tick(Instant now, Predicate<ServerIncarnation> listed) {
    if (lastListedAt.isEmpty()) {
      return;
    }
    lastListedAt.replaceAll((incarnation, at) -> listed.test(incarnation) ? now : at);
    lastListedAt.values().removeIf(at -> at.plus(RETENTION).isBefore(now));
  }
}
