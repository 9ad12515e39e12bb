package org.teaseldeal.gateway.server;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Which parts of prompts are thought to lie in the caches of backend servers, as this instance and
 * others have sent them there.
 *
 * <p>A belief that is wrong costs a worse choice of server, nothing else. What a cache has dropped
 * since isn't known here; the parts that are used least are forgotten first, as they are there.
 */
public final class CachedPrompts {
  /** Bounds memory to some megabytes; a fleet of a hundred servers caches fewer parts. */
  private static final int MOST_COPIES = 16_384;

  /** As many as fit into a datagram beside the loads. */
  private static final int MOST_NEWS = 48;

  /**
   * One part at one server.
   *
   * @param part a hash of its id, which is longer
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

  /** Takes note that a prompt with {@code parts} was sent to {@code server}. */
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

  /** Takes note of what another instance has sent. */
  public void onHeard(Copy copy) {
    copies.put(copy, true);
  }

  /** Takes back that a prompt was sent: the server has not run it. */
  public void onNotRun(ServerIncarnation server, List<String> parts) {
    parts.forEach(part -> copies.remove(new Copy(server, hash(part))));
  }

  /** Whether {@code server} is thought to hold {@code part}. */
  public boolean holds(ServerIncarnation server, String part) {
    return copies.containsKey(new Copy(server, hash(part)));
  }

  /** What this instance has sent for the first time since {@code earliest}. */
  public List<Copy> sentSince(Instant earliest) {
    return news.stream().filter(each -> !each.since().isBefore(earliest)).map(News::copy).toList();
  }

  /** The copies that were used last, {@code most} of them. */
  public List<Copy> newest(int most) {
    return copies.keySet().stream().skip(Math.max(0, copies.size() - most)).toList();
  }

  private static long hash(String part) {
    return Hashing.komihash5_0().hashCharsToLong(part);
  }
}
