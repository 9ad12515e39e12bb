package org.teaseldeal.ledger.snapshot;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.AbstractList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Objects;
import java.util.RandomAccess;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.ledger.entry.Entry;

/**
 * Splits an exported state into chunks, each of which names the digest of the whole state.
 *
 * <p>A chunk is copied only when it is requested, because a second copy of a large state would take
 * as much memory as the state itself.
 */
public final class SnapshotChunks extends AbstractList<Entry.SnapshotChunk>
    implements RandomAccess {
  private final long coveredOffset;
  private final byte[] state;
  private final int chunkBytes;
  private final String digest;

  private SnapshotChunks(long coveredOffset, byte[] state, int chunkBytes) {
    this.coveredOffset = coveredOffset;
    this.state = state;
    this.chunkBytes = chunkBytes;
    digest = digest(state);
  }

  /**
   * Returns the chunks of {@code state}, which includes all records up to {@code coveredOffset}.
   */
  public static List<Entry.SnapshotChunk> of(long coveredOffset, byte[] state, int chunkBytes) {
    Preconditions.requirePositive(state.length, "state bytes");
    Preconditions.requirePositive(chunkBytes, "chunk bytes");
    return new SnapshotChunks(coveredOffset, state, chunkBytes);
  }

  @Override
  public Entry.SnapshotChunk get(int index) {
    Objects.checkIndex(index, size());
    int from = index * chunkBytes;
    byte[] bytes = Arrays.copyOfRange(state, from, Math.min(from + chunkBytes, state.length));
    return new Entry.SnapshotChunk(coveredOffset, index, size(), digest, bytes);
  }

  @Override
  public int size() {
    return Math.ceilDiv(state.length, chunkBytes);
  }

  /** Returns the SHA-256 digest of {@code bytes}, in hexadecimal digits. */
  public static String digest(byte[] bytes) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("Every Java platform has SHA-256", e);
    }
  }
}
