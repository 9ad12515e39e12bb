package org.teaseldeal.gateway.server;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseldeal.api.BackendServerId;

/**
 * The latest incarnation of each server that is no longer listed.
 *
 * <p>After a server has left and its listing was removed, a delayed listing of the same or of an
 * earlier process could list it again. Requests would then be sent to a process that is ending or
 * has ended.
 */
final class DepartedServers {
  /**
   * As many servers as some tens of fleets have; fewer depart while a listing is delayed. An entry
   * takes about 200 bytes.
   */
  private static final int MAX_ENTRIES = 4_096;

  /**
   * Longer than a listing is delayed, as the store is unavailable for some ten seconds at most. The
   * time is limited because a server restarts with an earlier start time if its clock was set back.
   */
  private static final Duration RETENTION = Duration.ofMinutes(2);

  private record Departed(
      ServerIncarnation incarnation, boolean announcedLeave, Instant removedAt) {}

  private final Map<BackendServerId, Departed> departed =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<BackendServerId, Departed> eldest) {
          return size() > MAX_ENTRIES;
        }
      };
  private Instant now = Instant.MIN;

  /** Forgets the servers that left longer ago than the retention time. */
  void tick(Instant time) {
    now = time;
    departed.values().removeIf(each -> !each.removedAt().plus(RETENTION).isAfter(time));
  }

  /**
   * Records that a server is no longer listed.
   *
   * <p>A server without a start time isn't recorded: a later listing might be of another process,
   * and a server that returns must be used.
   *
   * @param announcedLeave whether the server had announced that it leaves
   */
  void add(ServerIncarnation incarnation, boolean announcedLeave) {
    if (incarnation.startedAt().isPresent()) {
      departed.remove(incarnation.id());
      departed.put(incarnation.id(), new Departed(incarnation, announcedLeave, now));
    }
  }

  /**
   * Whether a listing of {@code listed} is to be ignored.
   *
   * <p>The same process is accepted again if it had not announced that it leaves. It was isolated
   * from the list until its listing expired, and only its own heartbeat writes the listing again.
   * If this is a delayed listing after all, it costs a refused connection, whereas ignoring a
   * running server would cost its capacity until it restarts.
   */
  boolean rejects(ServerIncarnation listed) {
    Departed known = departed.get(listed.id());
    if (known == null || listed.startedAfter(known.incarnation())) {
      return false;
    }
    return known.announcedLeave() || !listed.equals(known.incarnation());
  }

  /** Forgets a server that is listed again. */
  void remove(BackendServerId id) {
    departed.remove(id);
  }
}
