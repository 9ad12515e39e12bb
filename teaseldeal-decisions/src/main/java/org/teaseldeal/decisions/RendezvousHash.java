package org.teaseldeal.decisions;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous hashing: orders names by a key in the same way in every process, such that adding or
 * removing one name changes the position of few others.
 */
final class RendezvousHash {
  private RendezvousHash() {}

  /** Returns {@code names} in the order for {@code key}, independent of their given order. */
  static List<String> order(String key, Collection<String> names) {
    return names.stream()
        .sorted(Comparator.comparingLong(name -> hash(key + '\n' + name)))
        .toList();
  }

  /** Returns a hash that is the same for the same text in every process. */
  static long hash(String text) {
    return Hashing.komihash5_0().hashCharsToLong(text);
  }
}
