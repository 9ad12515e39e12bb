package org.teaseldeal.ledger.snapshot;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Configures the snapshots that preserve the state on a log which keeps its records for a limited
 * time.
 *
 * @param chunkBytes bytes of state in one snapshot chunk
 * @param retention how long the log keeps a record
 * @param recordsPerSnapshot records after which a new snapshot is due; it should be several times
 *     the number of chunks in a snapshot, since the chunks are records too
 * @param takeoverDelay how long each instance has to write a due snapshot before the next in rank
 *     takes over
 */
public record SnapshotConfig(
    int chunkBytes, Duration retention, long recordsPerSnapshot, Duration takeoverDelay) {
  /** The default, for a log that keeps its records for a day. */
  public static final SnapshotConfig DEFAULT =
      new SnapshotConfig(48 * 1024, Duration.ofDays(1), 20_000, Duration.ofSeconds(20));

  /**
   * Number of snapshots within the retention. With four, a complete snapshot is still on the log if
   * one snapshot was missed and the log was then down for half the retention.
   */
  private static final int SNAPSHOTS_PER_RETENTION = 4;

  public SnapshotConfig {
    Preconditions.requirePositive(chunkBytes, "chunk bytes");
    Preconditions.requirePositive(
        retention.toMillis() / SNAPSHOTS_PER_RETENTION, "a quarter of the retention");
    Preconditions.requirePositive(recordsPerSnapshot, "records per snapshot");
    Preconditions.requireNotNegative(takeoverDelay.toMillis(), "takeover delay");
  }

  /** Returns the age of the latest snapshot at which a new one is due. */
  public Duration maxAge() {
    return retention.dividedBy(SNAPSHOTS_PER_RETENTION);
  }
}
