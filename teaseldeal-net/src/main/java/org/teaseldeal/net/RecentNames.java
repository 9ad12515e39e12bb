package org.teaseldeal.net;

/** The names of the last calls of a connection, as hashes: it may know a name that it never had. */
final class RecentNames {
  private static final int CAPACITY = 256;

  private final int[] hashes = new int[CAPACITY];
  private int added;

  void add(String name) {
    if (!name.isEmpty()) {
      hashes[added++ % CAPACITY] = name.hashCode();
    }
  }

  boolean contains(String name) {
    if (name.isEmpty()) {
      return false;
    }
    int hash = name.hashCode();
    for (int i = 0; i < Math.min(added, CAPACITY); i++) {
      if (hashes[i] == hash) {
        return true;
      }
    }
    return false;
  }
}
