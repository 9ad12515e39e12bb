package org.teaseldeal.decisions;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Orders names by a key alike everywhere, so that one name more or less moves few others. */
final class RendezvousHash {
  private RendezvousHash() {}

  /** Orders {@code names}, whatever their order was. */
  static List<String> ranked(String key, Collection<String> names) {
    return names.stream()
        .sorted(Comparator.comparingLong(name -> hash(key + '\n' + name)))
        .toList();
  }

  /** The same for the same text in every process. */
  static long hash(String text) {
    return Hashing.komihash5_0().hashCharsToLong(text);
  }
}
