package org.teaseldeal.ledger.fold;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.ledger.entry.Entry;

/** Tracks how many chunks of a writer's incomplete snapshot have been seen, in order. */
record SnapshotProgress(long coveredOffset, String digest, int count, int chunksSeen) {
  /**
   * Returns the progress after {@code chunk}; empty if the chunk is neither the first of a snapshot
   * nor the next one of this snapshot.
   */
  static Optional<SnapshotProgress> after(
      @Nullable SnapshotProgress before, Entry.SnapshotChunk chunk) {
    if (chunk.index() < 0 || chunk.index() >= chunk.count()) {
      return Optional.empty();
    }
    if (chunk.index() > 0 && (before == null || !before.isContinuedBy(chunk))) {
      return Optional.empty();
    }
    return Optional.of(
        new SnapshotProgress(
            chunk.coveredOffset(), chunk.digest(), chunk.count(), chunk.index() + 1));
  }

  private boolean isContinuedBy(Entry.SnapshotChunk chunk) {
    return chunk.coveredOffset() == coveredOffset
        && chunk.digest().equals(digest)
        && chunk.count() == count
        && chunk.index() == chunksSeen;
  }

  boolean isComplete() {
    return chunksSeen == count;
  }

  void write(StateWriter out) {
    out.number(coveredOffset).text(digest).number(count).number(chunksSeen);
  }

  static SnapshotProgress read(StateReader in) {
    return new SnapshotProgress(in.number(), in.text(), (int) in.number(), (int) in.number());
  }
}
