package org.teaseldeal.core.table;

import java.time.Instant;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.entry.Entry;

/** A charge or write-off of a peer that this instance stores until it appears on the log. */
public final class BackupRow {
  public final ChargeId id;
  public final Entry entry;
  public final Instant storedAt;
  public boolean appended;

  public BackupRow(ChargeId id, Entry entry, Instant storedAt) {
    this.id = id;
    this.entry = entry;
    this.storedAt = storedAt;
  }
}
