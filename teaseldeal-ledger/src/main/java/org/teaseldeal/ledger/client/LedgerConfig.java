package org.teaseldeal.ledger.client;

import org.teaseldeal.ledger.fold.KeyRules;
import org.teaseldeal.ledger.snapshot.SnapshotConfig;

/** The configuration of a {@link LedgerClient}. */
public record LedgerConfig(
    AppendConfig appends, ReadConfig reads, SnapshotConfig snapshots, KeyRules keys) {
  /** The default configuration of an instance. */
  public static final LedgerConfig DEFAULT =
      new LedgerConfig(
          AppendConfig.DEFAULT, ReadConfig.DEFAULT, SnapshotConfig.DEFAULT, KeyRules.DEFAULT);

  /** Returns a copy with another append configuration. */
  public LedgerConfig withAppends(AppendConfig other) {
    return new LedgerConfig(other, reads, snapshots, keys);
  }

  /** Returns a copy with another read configuration. */
  public LedgerConfig withReads(ReadConfig other) {
    return new LedgerConfig(appends, other, snapshots, keys);
  }

  /** Returns a copy with another snapshot configuration. */
  public LedgerConfig withSnapshots(SnapshotConfig other) {
    return new LedgerConfig(appends, reads, other, keys);
  }

  /** Returns a copy with another key retention. */
  public LedgerConfig withKeys(KeyRules other) {
    return new LedgerConfig(appends, reads, snapshots, other);
  }
}
