package org.teaseldeal.ledger.client;

import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.LogRecord;

/** A log in memory that can be unreachable, lose acknowledgements, and expire records. */
final class FakeLog {
  final List<LogRecord> records = new ArrayList<>();
  private final InstantSource clock;
  boolean unreachable;
  boolean losesAcknowledgements;
  long recordsServed;
  private long earliest;

  FakeLog(InstantSource clock) {
    this.clock = clock;
  }

  long nextOffset() {
    return records.size();
  }

  void expireBefore(long offset) {
    earliest = offset;
  }

  long append(byte[] payload) {
    records.add(new LogRecord(nextOffset(), clock.instant(), payload));
    return nextOffset() - 1;
  }

  /** Carries out a command; empty if its result is lost. */
  Optional<LogEvent> execute(LogCommand command) {
    return switch (command) {
      case LogCommand.Append append -> answer(append);
      case LogCommand.Read read -> Optional.of(answer(read));
    };
  }

  private Optional<LogEvent> answer(LogCommand.Append append) {
    if (unreachable) {
      return Optional.of(new LogEvent.AppendFailed(append.stream(), append.token(), "down"));
    }
    long offset = append(append.payload());
    return losesAcknowledgements
        ? Optional.empty()
        : Optional.of(new LogEvent.AppendAcknowledged(append.stream(), append.token(), offset));
  }

  private LogEvent answer(LogCommand.Read read) {
    long from = read.fromOffset();
    if (unreachable) {
      return new LogEvent.ReadFailed(read.stream(), from, "down");
    }
    if (from < earliest) {
      return new LogEvent.OffsetExpired(read.stream(), from, earliest, nextOffset());
    }
    List<LogRecord> served =
        records.subList(
            (int) Math.min(from, nextOffset()), (int) Math.min(from + 100, nextOffset()));
    recordsServed += served.size();
    return new LogEvent.RecordsRead(read.stream(), from, served, earliest, nextOffset());
  }
}
