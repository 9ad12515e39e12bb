package org.teaseldeal.ledger.fold;

import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.outcome.Outcome;

/**
 * The outcome of one entry, with the place of the entry on the log.
 *
 * @param sequence the writer's sequence number of the batch
 * @param index the index of the entry in its batch, counting only entries that this reader can
 *     decode
 * @param offset the offset of the record
 */
public record EntryOutcome(
    IncarnationId writer, long sequence, int index, long offset, Outcome outcome) {}
