package org.teaseldeal.ledger.client;

import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.snapshot.SnapshotAssembler;

/**
 * Searches the records that the log still keeps for the latest complete snapshot, without folding
 * them.
 *
 * <p>The scan begins a certain number of records before the end of the log, where a snapshot is
 * found as long as instances write snapshots on schedule. It begins further back only if there is
 * none, because a log may keep millions of records.
 */
final class SnapshotScan {
  private static final int WIDENING_FACTOR = 4;

  private final SnapshotAssembler assembler = new SnapshotAssembler();
  private long earliest;
  private long scanLength;
  private long begin;
  private long next;

  SnapshotScan(long earliest, long end, long scanLength) {
    this.earliest = earliest;
    this.scanLength = scanLength;
    begin = Math.max(earliest, end - scanLength);
    next = begin;
  }

  /** Returns the offset to read next. */
  long next() {
    return next;
  }

  /** Skips records that have expired since the scan began. Chunks found so far still count. */
  void skipTo(long earliestOffset) {
    earliest = Math.max(earliest, earliestOffset);
    next = Math.max(next, earliest);
  }

  /** Restarts the scan further back. Returns false if it already began at the earliest record. */
  boolean widen(long end) {
    if (begin <= earliest) {
      return false;
    }
    scanLength *= WIDENING_FACTOR;
    begin = Math.max(earliest, end - scanLength);
    next = begin;
    return true;
  }

  /**
   * Processes a record. Returns false if it does not directly follow the last one, so that a record
   * is missing.
   */
  boolean accept(LogRecord record) {
    if (record.offset() > next) {
      return false;
    }
    if (record.offset() == next) {
      next++;
      if (BatchCodec.decode(record.payload()) instanceof BatchCodec.Decoded.Valid valid) {
        valid.batch().entries().forEach(this::addChunk);
      }
    }
    return true;
  }

  private void addChunk(Entry entry) {
    if (entry instanceof Entry.SnapshotChunk chunk) {
      assembler.add(chunk);
    }
  }

  SnapshotAssembler assembler() {
    return assembler;
  }
}
