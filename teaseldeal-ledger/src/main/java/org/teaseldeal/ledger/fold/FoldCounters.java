package org.teaseldeal.ledger.fold;

/**
 * Counts of what a fold has processed since it was created. They are not part of the state.
 *
 * @param records records folded
 * @param repeats batches ignored because their sequence number had been applied before
 * @param sequenceGaps batches ignored because an earlier batch of their writer was missing
 * @param fromEndedWriters batches ignored because their writer had left or been retired
 * @param malformed records whose payload could not be decoded as a batch
 * @param skipped entries ignored because their kind is unknown or a field is missing or out of
 *     range
 */
public record FoldCounters(
    long records,
    long repeats,
    long sequenceGaps,
    long fromEndedWriters,
    long malformed,
    long skipped) {}
