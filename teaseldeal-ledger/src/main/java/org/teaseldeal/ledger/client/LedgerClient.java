package org.teaseldeal.ledger.client;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.fold.LedgerFold;
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.ledger.snapshot.Snapshot;
import org.teaseldeal.ledger.state.LedgerState;

/**
 * Follows and writes one stream of the ledger for one incarnation, without doing I/O itself.
 *
 * <p>On each tick, the caller carries out the commands that {@link #poll()} returns and passes each
 * result to {@link #handle}. An entry takes effect only when its record has been read back; {@code
 * handle} then returns its outcome, and {@link #ticket} matches it with the {@link Ticket} that
 * {@link #submit} returned. No other process may use the same incarnation id, because its records
 * would be ignored as repeats. Not thread-safe.
 */
public final class LedgerClient {
  /**
   * The search for a snapshot begins this many snapshot intervals before the end of the log. One
   * interval is not enough, because a snapshot can be overdue and its chunks are records too.
   */
  private static final long SCAN_LENGTH_IN_SNAPSHOTS = 2;

  private final IncarnationId self;
  private final StreamId stream;
  private final LedgerConfig config;
  private final MonotonicClock clock;
  private final LedgerFold fold;
  private final Appender appender;
  private final Reader reader;
  private final SnapshotWriter snapshots;
  private final List<Ticket> lostTickets = new ArrayList<>();
  private @Nullable SnapshotScan scan;
  private @Nullable Instant lastContact;
  private @Nullable String problem;
  private boolean caughtUp;
  private boolean stopped;
  private long knownNextOffset;
  private long gaps;
  private long corruptSnapshots;

  /** Creates a client that starts reading at offset 0. */
  public LedgerClient(
      IncarnationId self,
      StreamId stream,
      LedgerConfig config,
      SettingsValidator validator,
      InstantSource clock) {
    this.self = self;
    this.stream = stream;
    this.config = config;
    this.clock = new MonotonicClock(clock);
    fold = new LedgerFold(stream, config.keyRetention(), validator);
    appender = new Appender(self, stream, config.appends());
    reader = new Reader(stream, config.reads(), self.hashCode());
    snapshots = new SnapshotWriter(self, config.snapshots());
  }

  /**
   * Submits an entry. Claims, lease requests and entries of operators are appended without delay.
   */
  public Ticket submit(Entry entry) {
    return submit(entry, isUrgent(entry));
  }

  /**
   * Submits an entry, which is appended without delay if {@code urgent}.
   *
   * @throws IllegalStateException if this incarnation has {@linkplain #retired() ended}
   */
  public Ticket submit(Entry entry, boolean urgent) {
    if (stopped) {
      throw new IllegalStateException("Incarnation %s has ended".formatted(self));
    }
    return appender.submit(entry, urgent, clock.instant());
  }

  private static boolean isUrgent(Entry entry) {
    return switch (entry) {
      case Entry.Claim e -> true;
      case Entry.RequestLease e -> true;
      case Entry.TakeOrders e -> true;
      case Entry.PublishSettings e -> true;
      case Entry.CreateBudget e -> true;
      case Entry.TopUp e -> true;
      case Entry.Retire e -> true;
      case Entry.Join e -> false;
      case Entry.Leave e -> true;
      case Entry.ReturnLease e -> false;
      case Entry.Charge e -> false;
      case Entry.WriteOff e -> false;
      case Entry.ClaimOutcome e -> false;
      case Entry.ReleaseClaim e -> false;
      case Entry.SnapshotChunk e -> false;
    };
  }

  /** Returns the log commands that are due now. */
  public List<LogCommand> poll() {
    Instant now = clock.instant();
    List<LogCommand> commands = new ArrayList<>(2);
    if (!stopped) {
      if (caughtUp && scan == null) {
        snapshots.tick(fold, appender, now);
      }
      appender.poll(now, fold.state().foldedTo()).ifPresent(commands::add);
    }
    reader.poll(position(), now).ifPresent(commands::add);
    return commands;
  }

  private long position() {
    return scan != null ? scan.next() : fold.state().foldedTo() + 1;
  }

  /**
   * Handles the result of a command and returns the outcomes of all entries that were folded by it.
   */
  public List<EntryOutcome> handle(LogEvent event) {
    Preconditions.require(
        event.stream().equals(stream),
        "stream was %s, expected %s".formatted(event.stream(), stream));
    Instant now = clock.instant();
    return switch (event) {
      case LogEvent.AppendAcknowledged e -> {
        lastContact = now;
        appender.onAcknowledged(e.token(), e.offset(), now);
        yield List.of();
      }
      case LogEvent.AppendFailed e -> {
        appender.onFailed(e.token(), now);
        yield List.of();
      }
      case LogEvent.RecordsRead e -> onRecordsRead(e, now);
      case LogEvent.OffsetExpired e -> {
        onOffsetExpired(e, now);
        yield List.of();
      }
      case LogEvent.ReadFailed e -> {
        reader.onFailed(e.fromOffset(), now);
        yield List.of();
      }
    };
  }

  private List<EntryOutcome> onRecordsRead(LogEvent.RecordsRead event, Instant now) {
    lastContact = now;
    reader.onAnswered(event.fromOffset());
    knownNextOffset = Math.max(knownNextOffset, event.nextOffset());
    if (scan != null) {
      scan(scan, event, now);
      return List.of();
    }
    return foldAll(event, now);
  }

  private List<EntryOutcome> foldAll(LogEvent.RecordsRead event, Instant now) {
    boolean stale = event.fromOffset() != position();
    List<EntryOutcome> outcomes = new ArrayList<>();
    for (LogRecord record : event.records()) {
      long expected = fold.state().foldedTo() + 1;
      if (record.offset() > expected) {
        gaps++;
        reader.backOff(now);
        break;
      }
      if (record.offset() == expected) {
        outcomes.addAll(fold.fold(record));
      }
    }
    appender.onReadBack(fold.state().lastSequence(self));
    checkOwnWriter();
    if (!stale) {
      checkLogEnd(event.nextOffset());
    }
    return outcomes;
  }

  /**
   * Checks the end of the log against the folded state. A log that ends before the last folded
   * offset has lost records, or is a different log.
   */
  private void checkLogEnd(long next) {
    if (fold.state().foldedTo() + 1 >= next) {
      caughtUp = true;
    }
    if (!stopped) {
      problem =
          next <= fold.state().foldedTo()
              ? "the log ends at offset %d, but %d had been folded"
                  .formatted(next, fold.state().foldedTo())
              : null;
    }
  }

  private void checkOwnWriter() {
    if (stopped) {
      return;
    }
    long lastSequence = fold.state().lastSequence(self);
    if (appender.neverSent(lastSequence)) {
      problem = "another process writes as " + self;
      stop();
    } else if (appender.isForgottenByFold(lastSequence)) {
      problem = self + " never joined, was silent for the key memory and has been forgotten";
      stop();
    } else if (fold.state().ended(self)) {
      stop();
    }
  }

  private void stop() {
    stopped = true;
    snapshots.abandon();
    lostTickets.addAll(appender.stop());
  }

  private void onOffsetExpired(LogEvent.OffsetExpired event, Instant now) {
    lastContact = now;
    reader.onAnswered(event.fromOffset());
    knownNextOffset = Math.max(knownNextOffset, event.nextOffset());
    if (event.fromOffset() != position() || event.earliestOffset() <= position()) {
      return;
    }
    gaps++;
    caughtUp = false;
    if (scan == null) {
      scan = newScan(event);
    } else {
      scan.skipTo(event.earliestOffset());
    }
    problem = "records before offset %d have expired".formatted(event.earliestOffset());
  }

  private SnapshotScan newScan(LogEvent.OffsetExpired event) {
    long scanLength = config.snapshots().recordsPerSnapshot() * SCAN_LENGTH_IN_SNAPSHOTS;
    return new SnapshotScan(event.earliestOffset(), event.nextOffset(), scanLength);
  }

  private void scan(SnapshotScan running, LogEvent.RecordsRead event, Instant now) {
    if (event.fromOffset() != running.next()) {
      return;
    }
    for (LogRecord record : event.records()) {
      if (!running.accept(record)) {
        gaps++;
        reader.backOff(now);
        return;
      }
    }
    if (running.next() >= event.nextOffset()) {
      finishScan(running, event.earliestOffset(), event.nextOffset());
    }
  }

  private void finishScan(SnapshotScan finished, long earliest, long end) {
    Optional<Snapshot> found = finished.assembler().latest();
    if (found.isEmpty() || found.get().coveredOffset() + 1 < earliest) {
      if (!finished.widen(end)) {
        problem =
            "records before offset %d have expired and the log has no whole snapshot after them"
                .formatted(earliest);
      }
      return;
    }
    try {
      replaceState(found.get().state());
    } catch (IllegalArgumentException e) {
      finished.assembler().dropLatest();
      problem = "the latest snapshot is unusable: " + e.getMessage();
    }
  }

  private void replaceState(byte[] exported) {
    fold.restore(exported);
    if (scan != null) {
      corruptSnapshots += scan.assembler().corrupt();
    }
    scan = null;
    snapshots.abandon();
    if (!stopped) {
      problem = null;
    }
    lostTickets.addAll(appender.onReadBack(fold.state().lastSequence(self)));
    checkOwnWriter();
  }

  /** Returns the ticket of an outcome if its entry was submitted to this client. */
  public Optional<Ticket> ticket(EntryOutcome outcome) {
    return outcome.writer().equals(self)
        ? Optional.of(new Ticket(outcome.sequence(), outcome.index()))
        : Optional.empty();
  }

  /**
   * Returns the tickets whose outcomes will never be known, each once. Their record was in a range
   * that expired before it was read, or this incarnation ended before the record was appended.
   */
  public List<Ticket> drainLostTickets() {
    List<Ticket> lost = List.copyOf(lostTickets);
    lostTickets.clear();
    return lost;
  }

  /** Returns the folded state. Callers must get it anew after each {@link #handle}. */
  public LedgerState state() {
    return fold.state();
  }

  /** Returns the last folded offset, -1 if there is none. */
  public long foldedTo() {
    return fold.state().foldedTo();
  }

  /**
   * Returns whether the client has caught up: it has reached the end of the log, as known at that
   * time, since the start or since it last missed records, or it has restored a peer's state.
   */
  public boolean caughtUp() {
    return caughtUp;
  }

  /** Returns the number of records that are known to be on the log but are not folded yet. */
  public long lag() {
    return Math.max(0, knownNextOffset - 1 - foldedTo());
  }

  /** Returns when the log last answered, on the clock passed to the constructor. */
  public Optional<Instant> lastContact() {
    return Optional.ofNullable(lastContact).map(clock::toSourceTime);
  }

  /**
   * Returns whether a record has been in flight, without being read back, for {@code duration} or
   * longer.
   */
  public boolean appendOutstandingFor(Duration duration) {
    return appender.isOutstandingFor(duration, clock.instant());
  }

  /** Returns whether the log answers and appended records are read back in time. */
  public boolean logReachable() {
    Duration limit = config.reads().unreachableAfter();
    return lastContact != null
        && Duration.between(lastContact, clock.instant()).compareTo(limit) < 0
        && !appendOutstandingFor(limit);
  }

  /** Returns whether no entry is waiting to be appended or read back. */
  public boolean idle() {
    return appender.idle();
  }

  /**
   * Returns whether this incarnation has ended, or can no longer write for the reason in {@link
   * #problem()}. The tokens that it holds must then not be spent.
   */
  public boolean retired() {
    return stopped;
  }

  /** Returns what keeps this client from following the log, if anything does. */
  public Optional<String> problem() {
    return Optional.ofNullable(problem);
  }

  /** Returns the counters of this client. */
  public ClientCounters counters() {
    long corrupt = corruptSnapshots + (scan == null ? 0 : scan.assembler().corrupt());
    return new ClientCounters(
        appender.appends(),
        appender.repeats(),
        appender.bytes(),
        appender.failures(),
        reader.reads(),
        reader.failures(),
        gaps,
        corrupt,
        fold.counters());
  }

  /**
   * Returns the exported state, for a peer that can't read the log. It includes all records up to
   * {@link #foldedTo()}.
   */
  public byte[] exportState() {
    return fold.export();
  }

  /**
   * Replaces the state by that of a peer; the client then counts as caught up.
   *
   * @throws IllegalArgumentException if {@code exported} can't be read, belongs to another stream,
   *     or ends at a lower offset than this client's state, which then stays as it was
   */
  public void restore(byte[] exported) {
    replaceState(exported);
    caughtUp = true;
  }
}
