package org.teaseldeal.bench.slope;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.fold.KeyRetention;
import org.teaseldeal.ledger.fold.LedgerFold;
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.ledger.outcome.Outcome;

/** An in-memory log with one writer, and the ledger state folded from it. */
final class FoldedLog {
  static final IncarnationId WRITER = new IncarnationId("router-007.0123456789ab");
  private static final Instant START = Instant.parse("2026-12-02T09:00:00Z");
  private static final int ENTRIES_PER_RECORD = 200;

  private final LedgerFold fold = newFold();
  private long offset = -1;

  static LedgerFold newFold() {
    return new LedgerFold(StreamId.FLEET, KeyRetention.DEFAULT, SettingsValidator.STANDARD);
  }

  LedgerFold fold() {
    return fold;
  }

  /** Encodes entries as the next records of the log. */
  List<LogRecord> records(List<? extends Entry> entries, int perRecord) {
    List<LogRecord> records = new ArrayList<>();
    for (int from = 0; from < entries.size(); from += perRecord) {
      List<Entry> part =
          List.copyOf(entries.subList(from, Math.min(from + perRecord, entries.size())));
      offset++;
      Batch batch = new Batch(WRITER, offset + 1, offset - 1, part);
      records.add(new LogRecord(offset, START.plusMillis(offset * 20), BatchCodec.encode(batch)));
    }
    return records;
  }

  /** Folds records. Throws if an entry is rejected, because all figures would then be wrong. */
  void fold(List<LogRecord> records) {
    for (LogRecord record : records) {
      for (EntryOutcome entry : fold.fold(record)) {
        if (entry.outcome() instanceof Outcome.Rejected rejected) {
          throw new IllegalStateException("the ledger rejected an entry: " + rejected);
        }
      }
    }
  }

  /** Encodes entries as records and folds them. */
  void write(List<? extends Entry> entries) {
    for (int from = 0; from < entries.size(); from += ENTRIES_PER_RECORD) {
      int to = Math.min(from + ENTRIES_PER_RECORD, entries.size());
      fold(records(entries.subList(from, to), ENTRIES_PER_RECORD));
    }
  }

  void write(Entry... entries) {
    write(List.of(entries));
  }

  /** Creates {@code count} entries, numbered from zero. */
  static List<Entry> entries(int count, IntFunction<Entry> entry) {
    return IntStream.range(0, count).mapToObj(entry).toList();
  }
}
