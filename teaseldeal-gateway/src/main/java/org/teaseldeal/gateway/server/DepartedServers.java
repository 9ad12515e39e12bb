package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseldeal.api.BackendServerId;

/**
 * The newest incarnation of each server that is off the list.
 *
 * <p>Failure: a server leaves, its line is taken away, and a late line of the same process, or of
 * one before it, lists it again. Symptom: requests are sent to a process that ends, or has ended.
 */
final class DepartedServers {
  /** Some tens of fleets; a line isn't late by so many departures. About 200 bytes each. */
  private static final int MOST = 4_096;

  /**
   * Longer than lines are late: the store is away for some ten seconds at most. Not for good, as a
   * server whose clock was set back starts with an earlier start.
   */
  private static final Duration KEPT = Duration.ofMinutes(2);

  private record Departed(ServerIncarnation incarnation, boolean left, Instant at) {}

  private final Map<BackendServerId, Departed> departed =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<BackendServerId, Departed> eldest) {
          return size() > MOST;
        }
      };
  private Instant now = Instant.MIN;

  /** Forgets those that are gone for long. */
  void tick(Instant time) {
    now = time;
    departed.values().removeIf(each -> !each.at().plus(KEPT).isAfter(time));
  }

  /**
   * Takes note that a server is gone; {@code left} if it had said that it leaves.
   *
   * <p>Nothing is kept of one without a start: whether a later line is another process can't be
   * told, and a server that returns must be used.
   */
  void add(ServerIncarnation incarnation, boolean left) {
    if (incarnation.startedAt().isPresent()) {
      departed.remove(incarnation.id());
      departed.put(incarnation.id(), new Departed(incarnation, left, now));
    }
  }

  /**
   * Whether {@code listed} may not come back.
   *
   * <p>The same process may if it hadn't said that it leaves. It was cut off from the list for
   * longer than its line lasts, and only its own heartbeat writes the line anew. Were this a late
   * line after all, it would cost a refused connection; shutting out a server that runs would cost
   * its places until it starts again.
   */
  boolean shutsOut(ServerIncarnation listed) {
    Departed before = departed.get(listed.id());
    if (before == null || listed.startedAfter(before.incarnation())) {
      return false;
    }
    return before.left() || !listed.equals(before.incarnation());
  }

  /** Forgets a server that is listed again. */
  void remove(BackendServerId id) {
    departed.remove(id);
  }
}
