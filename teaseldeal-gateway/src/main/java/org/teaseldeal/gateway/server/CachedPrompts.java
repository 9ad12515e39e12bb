package org.teaseldeal.gateway.server;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of prompts that are presumably in the caches of backend servers, because this instance
 * or another one has sent them there.
 *
 * <p>An entry that is wrong only leads to a worse choice of a server. Evictions from a server's
 * cache aren't known here. The least recently used parts are evicted first, as the servers do.
 */
public final class CachedPrompts {
  /**
   * Limits memory use to some megabytes. The servers of a fleet of a hundred servers cache fewer
   * parts than this.
   */
  private static final int MAX_PARTS = 16_384;

  /** As many parts as fit into a datagram in addition to the loads. */
  private static final int MAX_RECENT = 48;

  /**
   * One part in the cache of one server.
   *
   * @param partHash a hash of the part's id, which is longer
   */
  public record CachedPart(ServerIncarnation server, long partHash) {}

  private record RecentPart(CachedPart part, Instant sentAt) {}

  private final Map<CachedPart, Boolean> cachedParts =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<CachedPart, Boolean> eldest) {
          return size() > MAX_PARTS;
        }
      };

  private final Deque<RecentPart> recentlySent = new ArrayDeque<>();

  /** Records that a prompt with {@code parts} was sent to {@code server}. */
  public void onSent(ServerIncarnation server, List<String> parts, Instant now) {
    for (String part : parts) {
      CachedPart cachedPart = new CachedPart(server, hash(part));
      if (cachedParts.put(cachedPart, true) == null) {
        recentlySent.addLast(new RecentPart(cachedPart, now));
      }
    }
    while (recentlySent.size() > MAX_RECENT) {
      recentlySent.removeFirst();
    }
  }

  /** Records a part that another instance has sent to a server. */
  public void onReceived(CachedPart cachedPart) {
    cachedParts.put(cachedPart, true);
  }

  /** Removes the parts of a prompt that was sent to {@code server} but not run. */
  public void onNotRun(ServerIncarnation server, List<String> parts) {
    parts.forEach(part -> cachedParts.remove(new CachedPart(server, hash(part))));
  }

  /** Whether {@code part} is presumably in the cache of {@code server}. */
  public boolean contains(ServerIncarnation server, String part) {
    return contains(server, hash(part));
  }

  /** Whether the part with this {@link #hash} is presumably in the cache of {@code server}. */
  public boolean contains(ServerIncarnation server, long partHash) {
    return cachedParts.containsKey(new CachedPart(server, partHash));
  }

  /**
   * The parts that this instance has sent to a server for the first time at or after {@code
   * earliest}.
   */
  public List<CachedPart> sentSince(Instant earliest) {
    return recentlySent.stream()
        .filter(each -> !each.sentAt().isBefore(earliest))
        .map(RecentPart::part)
        .toList();
  }

  /** The {@code limit} most recently used parts. */
  public List<CachedPart> mostRecentlyUsed(int limit) {
    return cachedParts.keySet().stream().skip(Math.max(0, cachedParts.size() - limit)).toList();
  }

  /** The hash by which a part is known, which is shorter than its id. */
  public static long hash(String part) {
    return Hashing.komihash5_0().hashCharsToLong(part);
  }
}
