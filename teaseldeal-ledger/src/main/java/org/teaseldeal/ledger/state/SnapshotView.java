package org.teaseldeal.ledger.state;

import java.time.Instant;

/**
 * Describes the latest complete snapshot on the log.
 *
 * @param epoch the number of snapshots that advanced {@code coveredOffset}
 * @param coveredOffset the offset up to which the latest complete snapshot covers the log, -1 if
 *     there is none
 * @param since the log time at which that snapshot became complete, or the log time of the first
 *     record if there is no snapshot
 */
public record SnapshotView(long epoch, long coveredOffset, Instant since) {}
