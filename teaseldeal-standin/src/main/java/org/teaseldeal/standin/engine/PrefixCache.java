package org.teaseldeal.standin.engine;

import com.dynatrace.hash4j.hashing.HashStream64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.SequencedSet;

/**
 * A cache of prompt prefixes in blocks of tokens, with least-recently-used eviction.
 *
 * <p>The hash of a block includes the hash of the block before it, so a block is found only after
 * the same prefix.
 */
final class PrefixCache {
  private final int capacity;
  private final int blockTokens;
  private final Listener listener;

  /** The hashes of the cached blocks, least recently used first. */
  private final SequencedSet<Long> blocks = new LinkedHashSet<>();

  PrefixCache(int capacity, int blockTokens, Listener listener) {
    this.capacity = capacity;
    this.blockTokens = blockTokens;
    this.listener = listener;
  }

  /** Returns the number of a prompt's tokens that are cached, and caches its complete blocks. */
  int matchAndStore(List<String> tokens) {
    List<Long> hashes = blockHashes(tokens);
    int found = 0;
    while (found < hashes.size() && blocks.contains(hashes.get(found))) {
      found++;
    }
    // Blocks are touched from last to first, so that a prefix is evicted after the blocks that
    // follow it. Without their prefix these couldn't be found any more.
    for (long block : hashes.reversed()) {
      touch(block);
    }
    evict();
    return found * blockTokens;
  }

  int blockCount() {
    return blocks.size();
  }

  double fillRatio() {
    return (double) blocks.size() / capacity;
  }

  void clear() {
    blocks.clear();
  }

  private void touch(long block) {
    if (!blocks.remove(block)) {
      listener.onStored(block);
    }
    blocks.addLast(block);
  }

  private void evict() {
    for (Iterator<Long> i = blocks.iterator(); blocks.size() > capacity; ) {
      long block = i.next();
      i.remove();
      listener.onRemoved(block);
    }
  }

  private List<Long> blockHashes(List<String> tokens) {
    List<Long> hashes = new ArrayList<>();
    long previous = 0;
    for (int end = blockTokens; end <= tokens.size(); end += blockTokens) {
      HashStream64 stream = Hashing.komihash5_0().hashStream().putLong(previous);
      tokens.subList(end - blockTokens, end).forEach(stream::putString);
      previous = stream.getAsLong();
      hashes.add(previous);
    }
    return hashes;
  }

  /** Receives an event for each block that is stored or evicted. */
  interface Listener {
    void onStored(long block);

    void onRemoved(long block);
  }
}
