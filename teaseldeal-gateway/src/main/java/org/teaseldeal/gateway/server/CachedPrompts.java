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
  private static final int MOST_COPIES = 16_384;

  /** As many parts as fit into a datagram in addition to the loads. */
  private static final int MOST_NEWS = 48;

  /**
   * One part in the cache of one server.
   *
   * @param part a hash of the part's id, which is longer
   */
  public record Copy(ServerIncarnation server, long part) {}

  private record News(Copy copy, Instant since) {}

  private final Map<Copy, Boolean> copies =
      new LinkedHashMap<>(64, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Copy, Boolean> eldest) {
          return size() > MOST_COPIES;
        }
      };

  private final Deque<News> news = new ArrayDeque<>();

  /** Records that a prompt with {@code parts} was sent to {@code server}. */
  public void onSent(ServerIncarnation server, List<String> parts, Instant now) {
    for (String part : parts) {
      Copy copy = new Copy(server, hash(part));
      if (copies.put(copy, true) == null) {
        news.addLast(new News(copy, now));
      }
    }
    while (news.size() > MOST_NEWS) {
      news.removeFirst();
    }
  }

  /** Records a part that another instance has sent to a server. */
  public void onHeard(Copy copy) {
    copies.put(copy, true);
  }

  /** Removes the parts of a prompt that was sent to {@code server} but not run. */
  public void onNotRun(ServerIncarnation server, List<String> parts) {
    parts.forEach(part -> copies.remove(new Copy(server, hash(part))));
  }

  /** Whether {@code part} is presumably in the cache of {@code server}. */
  public boolean holds(ServerIncarnation server, String part) {
    return copies.containsKey(new Copy(server, hash(part)));
  }

  /**
   * The parts that this instance has sent to a server for the first time at or after {@code
   * earliest}.
   */
  public List<Copy> sentSince(Instant earliest) {
    return news.stream().filter(each -> !each.since().isBefore(earliest)).map(News::copy).toList();
  }

  /** The {@code limit} most recently used parts. */
  public List<Copy> newest(int limit) {
    return copies.keySet().stream().skip(Math.max(0, copies.size() - limit)).toList();
  }

  private static long hash(String part) {
    return Hashing.komihash5_0().hashCharsToLong(part);
  }
}
