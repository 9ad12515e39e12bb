package org.teaseldeal.core.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;

/** The platform's log in memory. Its faults are fields that may be set at any time. */
public final class FakeLog {
  private static final int MAX_RECORDS = 100;
  private static final Duration LONG_POLL = Duration.ofMillis(500);
  private static final Duration POLL_STEP = Duration.ofMillis(5);

  private final Simulation simulation;
  private final Map<StreamId, List<LogRecord>> streams = new HashMap<>();
  private final Map<String, Long> sequences = new HashMap<>();

  /** Whether every call fails. */
  public boolean down;

  /** Whether records are stored but their writers receive an error. */
  public boolean losesResponses;

  /** The time that a call takes to reach the log, and its response to come back. */
  public Duration oneWayDelay = Duration.ofMillis(2);

  private long appends;

  public FakeLog(Simulation simulation) {
    this.simulation = simulation;
  }

  /** Returns the number of appends of all writers so far. */
  public long appends() {
    return appends;
  }

  public List<LogRecord> records(StreamId stream) {
    return streams.computeIfAbsent(stream, s -> new ArrayList<>());
  }

  /** Carries out a log command of an instance. */
  public void carryOut(LogCommand command, Consumer<LogEvent> answer) {
    carryOut(command, false, answer);
  }

  /** Carries out a log command, or makes it fail if {@code cutOff} is true. */
  void carryOut(LogCommand command, boolean cutOff, Consumer<LogEvent> answer) {
    simulation.after(
        oneWayDelay,
        () -> {
          switch (command) {
            case LogCommand.Append append when cutOff || down ->
                respond(answer, new LogEvent.AppendFailed(append.stream(), append.token(), "503"));
            case LogCommand.Append append -> append(append, answer);
            case LogCommand.Read read when cutOff ->
                respond(answer, new LogEvent.ReadFailed(read.stream(), read.fromOffset(), "503"));
            case LogCommand.Read read -> read(read, answer, simulation.instant().plus(LONG_POLL));
          }
        });
  }

  private void append(LogCommand.Append append, Consumer<LogEvent> answer) {
    long offset = store(append.stream(), append.payload());
    respond(
        answer,
        losesResponses
            ? new LogEvent.AppendFailed(append.stream(), append.token(), "time-out")
            : new LogEvent.AppendAcknowledged(append.stream(), append.token(), offset));
  }

  private long store(StreamId stream, byte[] payload) {
    List<LogRecord> records = records(stream);
    appends++;
    records.add(new LogRecord(records.size(), simulation.instant(), payload.clone()));
    return records.size() - 1;
  }

  private void read(LogCommand.Read read, Consumer<LogEvent> answer, java.time.Instant until) {
    StreamId stream = read.stream();
    if (down) {
      respond(answer, new LogEvent.ReadFailed(stream, read.fromOffset(), "503"));
      return;
    }
    List<LogRecord> records = records(stream);
    int from = (int) read.fromOffset();
    if (from >= records.size() && simulation.instant().isBefore(until)) {
      simulation.after(POLL_STEP, () -> read(read, answer, until));
      return;
    }
    int to = Math.min(records.size(), from + MAX_RECORDS);
    List<LogRecord> page = from >= to ? List.of() : records.subList(from, to);
    respond(answer, new LogEvent.RecordsRead(stream, read.fromOffset(), page, 0, records.size()));
  }

  private void respond(Consumer<LogEvent> answer, LogEvent event) {
    simulation.after(oneWayDelay, () -> answer.accept(event));
  }

  /** Appends entries of an operator to the first stream at once, regardless of faults. */
  public void write(String writer, Entry... entries) {
    write(new StreamId(0), writer, entries);
  }

  /** Appends entries of an operator at once, regardless of faults. */
  public void write(StreamId stream, String writer, Entry... entries) {
    IncarnationId incarnation = new IncarnationId(writer);
    long sequence = sequences.merge(stream + "|" + writer, 1L, Long::sum);
    Batch batch = new Batch(incarnation, sequence, -1, List.of(entries));
    store(stream, BatchCodec.encode(batch));
  }
}
