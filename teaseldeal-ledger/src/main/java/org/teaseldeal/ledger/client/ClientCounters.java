package org.teaseldeal.ledger.client;

import org.teaseldeal.ledger.fold.FoldCounters;

/**
 * Counts of what a {@link LedgerClient} has done since it was created.
 *
 * @param appends append commands issued, including repeats
 * @param repeats append commands for a record that had been appended before
 * @param appendedBytes payload bytes of all append commands
 * @param appendFailures appends that failed or were not answered in time
 * @param reads read commands issued
 * @param readFailures reads that failed or were not answered in time
 * @param gaps how often records had expired before they were read, or an answer lacked a record
 * @param corruptSnapshots complete snapshots on the log that could not be used
 * @param fold the counters of the fold
 */
public record ClientCounters(
    long appends,
    long repeats,
    long appendedBytes,
    long appendFailures,
    long reads,
    long readFailures,
    long gaps,
    long corruptSnapshots,
    FoldCounters fold) {}
