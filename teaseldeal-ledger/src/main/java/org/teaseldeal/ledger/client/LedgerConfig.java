package org.teaseldeal.ledger.client;

import org.teaseldeal.ledger.fold.KeyRetention;
import org.teaseldeal.ledger.snapshot.SnapshotConfig;

/** The configuration of a {@link LedgerClient}. */
public record LedgerConfig(
    AppendConfig appends, ReadConfig reads, SnapshotConfig snapshots, KeyRetention keyRetention) {
  /** The default configuration of an instance. */
  public static final LedgerConfig DEFAULT =
      new LedgerConfig(
          AppendConfig.DEFAULT, ReadConfig.DEFAULT, SnapshotConfig.DEFAULT, KeyRetention.DEFAULT);

  /** Returns a copy with another append configuration. */
  public LedgerConfig withAppends(AppendConfig other) {
    return new LedgerConfig(other, reads, snapshots, keyRetention);
  }

  /** Returns a copy with another read configuration. */
  public LedgerConfig withReads(ReadConfig other) {
    return new LedgerConfig(appends, other, snapshots, keyRetention);
  }

  /** Returns a copy with another snapshot configuration. */
  public LedgerConfig withSnapshots(SnapshotConfig other) {
    return new LedgerConfig(appends, reads, other, keyRetention);
  }

  /** Returns a copy with another key retention. */
  public LedgerConfig withKeyRetention(KeyRetention other) {
    return new LedgerConfig(appends, reads, snapshots, other);
  }
}
