package org.teaseldeal.ledger.fold;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.SettingsProblem;
import org.teaseldeal.settings.SubtreeId;

/** A log in memory with a fold that reads each record as it is appended. */
final class FoldTestLog {
  static final SettingsValidator REFUSES_BAD_TEXT =
      new SettingsValidator() {
        @Override
        public List<SettingsProblem> problems(SubtreeId subtree, String toml) {
          return toml.contains("bad") ? List.of(new SettingsProblem("", 1, "is bad")) : List.of();
        }

        @Override
        public Optional<FleetSettings> fleet(String toml) {
          return Optional.empty();
        }
      };
  static final KeyRetention KEY_RETENTION =
      new KeyRetention(Duration.ofHours(1), Duration.ofDays(7));

  final List<LogRecord> records = new ArrayList<>();
  private final Map<IncarnationId, Long> sequences = new HashMap<>();
  private final SettingsValidator validator;
  private LedgerFold fold;
  private Instant now = Instant.parse("2026-12-02T08:00:00Z");

  FoldTestLog() {
    this(REFUSES_BAD_TEXT);
  }

  FoldTestLog(SettingsValidator validator) {
    this.validator = validator;
    fold = newFold(validator);
  }

  static LedgerFold newFold() {
    return newFold(REFUSES_BAD_TEXT);
  }

  private static LedgerFold newFold(SettingsValidator validator) {
    return new LedgerFold(new StreamId(0), KEY_RETENTION, validator);
  }

  LedgerFold fold() {
    return fold;
  }

  LedgerState state() {
    return fold.state();
  }

  void advanceClock(Duration duration) {
    now = now.plus(duration);
  }

  /** Appends one record with the writer's next sequence number and folds it. */
  List<Outcome> write(IncarnationId writer, Entry... entries) {
    long sequence = sequences.merge(writer, 1L, Long::sum);
    return writeAs(writer, sequence, entries);
  }

  Outcome writeOne(IncarnationId writer, Entry entry) {
    return write(writer, entry).getFirst();
  }

  List<Outcome> writeAs(IncarnationId writer, long sequence, Entry... entries) {
    return writePayload(
        BatchCodec.encode(new Batch(writer, sequence, state().foldedTo(), List.of(entries))));
  }

  List<Outcome> writePayload(byte[] payload) {
    LogRecord record = new LogRecord(records.size(), now, payload);
    records.add(record);
    return fold.fold(record).stream().map(EntryOutcome::outcome).toList();
  }

  /** Replaces the fold by a new one that restores its export, as after a restart. */
  void restoreFromExport() {
    LedgerFold restored = newFold(validator);
    restored.restore(fold.export());
    fold = restored;
  }
}
