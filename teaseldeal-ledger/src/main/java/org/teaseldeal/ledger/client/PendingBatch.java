package org.teaseldeal.ledger.client;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.ledger.entry.Entry;

/** Entries gathered for one record that has not been sent yet. */
final class PendingBatch {
  final long sequence;
  final Instant openedAt;
  final List<Entry> entries = new ArrayList<>();
  private int bytes;
  private boolean urgent;

  PendingBatch(long sequence, Instant openedAt) {
    this.sequence = sequence;
    this.openedAt = openedAt;
  }

  /**
   * Returns whether an entry of {@code entryBytes} bytes fits into this record. The first entry
   * always fits.
   */
  boolean fits(int entryBytes, int maxBytes) {
    return entries.isEmpty() || bytes + entryBytes <= maxBytes;
  }

  Ticket add(Entry entry, int entryBytes, boolean entryUrgent) {
    entries.add(entry);
    bytes += entryBytes;
    urgent |= entryUrgent;
    return new Ticket(sequence, entries.size() - 1);
  }

  boolean urgent() {
    return urgent;
  }

  boolean isFull(int maxBytes) {
    return bytes >= maxBytes;
  }

  boolean hasChunk() {
    return entries.stream().anyMatch(Entry.SnapshotChunk.class::isInstance);
  }

  List<Ticket> tickets() {
    List<Ticket> tickets = new ArrayList<>(entries.size());
    for (int index = 0; index < entries.size(); index++) {
      tickets.add(new Ticket(sequence, index));
    }
    return tickets;
  }
}
