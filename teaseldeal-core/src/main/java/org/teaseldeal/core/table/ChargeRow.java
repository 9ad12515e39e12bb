package org.teaseldeal.core.table;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.entry.Entry;

/** A charge or write-off of this instance that has not yet been read back from the log. */
public final class ChargeRow {
  /**
   * Counts the charges of all streams together, whereas the number in {@link #id} counts the
   * charges of one stream.
   */
  public final long number;

  public final ChargeId id;
  public final Entry entry;

  /** The request whose final byte waits for this charge, or null for a write-off. */
  public final @Nullable RequestRow request;

  public final Instant createdAt;

  /** How many times this charge has been offered to a peer for storage so far. */
  public int offerCount;

  /** Whether a peer has acknowledged that it stores this charge. */
  public boolean heldByPeer;

  public Instant offeredAt = Instant.MIN;

  public ChargeRow(
      long number, ChargeId id, Entry entry, @Nullable RequestRow request, Instant createdAt) {
    this.number = number;
    this.id = id;
    this.entry = entry;
    this.request = request;
    this.createdAt = createdAt;
  }
}
