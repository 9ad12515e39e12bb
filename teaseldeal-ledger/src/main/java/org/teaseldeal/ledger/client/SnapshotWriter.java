package org.teaseldeal.ledger.client;

import java.time.Instant;
import java.util.List;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.LedgerFold;
import org.teaseldeal.ledger.snapshot.SnapshotChunks;
import org.teaseldeal.ledger.snapshot.SnapshotConfig;
import org.teaseldeal.ledger.snapshot.SnapshotSchedule;
import org.teaseldeal.ledger.state.LedgerState;

/**
 * Writes a snapshot when {@link SnapshotSchedule} assigns it to this instance, one chunk per
 * record.
 */
final class SnapshotWriter {
  private final SnapshotConfig config;
  private final SnapshotSchedule schedule;
  private List<Entry.SnapshotChunk> chunks = List.of();
  private long coveredOffset;
  private int nextChunkIndex;

  SnapshotWriter(IncarnationId self, SnapshotConfig config) {
    this.config = config;
    schedule = new SnapshotSchedule(self, config);
  }

  /**
   * Submits the next chunk of a snapshot in progress, or starts a snapshot if one is due. A chunk
   * is submitted only if it does not delay other entries.
   */
  void tick(LedgerFold fold, Appender appender, Instant now) {
    LedgerState state = fold.state();
    if (isWriting() && state.snapshot().coveredOffset() >= coveredOffset) {
      abandon();
    }
    if (!isWriting() && schedule.isDue(state, now)) {
      start(fold);
    }
    if (nextChunkIndex < chunks.size() && appender.acceptsChunk()) {
      appender.submit(chunks.get(nextChunkIndex++), false, now);
    }
  }

  private boolean isWriting() {
    return !chunks.isEmpty();
  }

  private void start(LedgerFold fold) {
    coveredOffset = fold.state().foldedTo();
    chunks = SnapshotChunks.of(coveredOffset, fold.export(), config.chunkBytes());
    nextChunkIndex = 0;
  }

  /** Abandons the snapshot in progress, if any. */
  void abandon() {
    chunks = List.of();
    nextChunkIndex = 0;
  }
}
