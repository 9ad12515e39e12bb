package org.teaseldeal.ledger.snapshot;

import java.io.ByteArrayOutputStream;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.ledger.entry.Entry;

/**
 * Assembles snapshots from chunks and keeps the latest complete one.
 *
 * <p>Chunks may be repeated and may arrive in any order. A snapshot is accepted only if its bytes
 * have the digest that the chunks name; otherwise it is dropped and counted as corrupt.
 */
public final class SnapshotAssembler {
  /**
   * Upper limit of the chunk count, above that of any real state. It keeps a corrupt count from
   * exhausting memory.
   */
  private static final int MAX_CHUNKS = 1 << 16;

  private final Map<SnapshotId, TreeMap<Integer, byte[]>> incomplete = new HashMap<>();
  private @Nullable Snapshot latest;
  private long corrupt;

  /** Adds a chunk that was read from the log. */
  public void add(Entry.SnapshotChunk chunk) {
    if (!isUsable(chunk)) {
      return;
    }
    SnapshotId id = new SnapshotId(chunk.coveredOffset(), chunk.digest(), chunk.count());
    TreeMap<Integer, byte[]> chunkBytes = incomplete.computeIfAbsent(id, key -> new TreeMap<>());
    chunkBytes.put(chunk.index(), chunk.bytes());
    if (chunkBytes.size() == chunk.count()) {
      incomplete.remove(id);
      complete(id, chunkBytes);
    }
  }

  private boolean isUsable(Entry.SnapshotChunk chunk) {
    return chunk.index() >= 0
        && chunk.index() < chunk.count()
        && chunk.count() <= MAX_CHUNKS
        && (latest == null || chunk.coveredOffset() > latest.coveredOffset());
  }

  private void complete(SnapshotId id, TreeMap<Integer, byte[]> chunkBytes) {
    ByteArrayOutputStream state = new ByteArrayOutputStream();
    chunkBytes.values().forEach(state::writeBytes);
    byte[] bytes = state.toByteArray();
    if (!SnapshotChunks.digest(bytes).equals(id.digest())) {
      corrupt++;
      return;
    }
    latest = new Snapshot(id.coveredOffset(), bytes);
    incomplete.keySet().removeIf(other -> other.coveredOffset() <= id.coveredOffset());
  }

  /** Returns the latest complete snapshot if there is one. */
  public Optional<Snapshot> latest() {
    return Optional.ofNullable(latest);
  }

  /** Drops the latest snapshot because its state can't be restored. */
  public void dropLatest() {
    corrupt++;
    latest = null;
  }

  /**
   * Returns the number of snapshots that did not match their digest or were dropped by {@link
   * #dropLatest}.
   */
  public long corrupt() {
    return corrupt;
  }

  private record SnapshotId(long coveredOffset, String digest, int count) {}
}
