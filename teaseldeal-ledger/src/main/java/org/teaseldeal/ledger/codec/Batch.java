package org.teaseldeal.ledger.codec;

import java.util.List;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.ledger.entry.Entry;

/**
 * The content of one log record: the entries that its writer gathered since its previous record.
 *
 * @param sequence the writer's sequence number, counted up from 1; a repeated append has the same
 *     number
 * @param foldedTo the last offset that the writer had folded, -1 if there is none
 */
public record Batch(IncarnationId writer, long sequence, long foldedTo, List<Entry> entries) {
  public Batch {
    Preconditions.requirePositive(sequence, "sequence");
    entries = List.copyOf(entries);
  }
}
