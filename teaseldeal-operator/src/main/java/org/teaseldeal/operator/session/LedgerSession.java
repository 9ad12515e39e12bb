package org.teaseldeal.operator.session;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.client.LedgerClient;
import org.teaseldeal.ledger.client.LedgerConfig;
import org.teaseldeal.ledger.client.Ticket;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.fold.EntryOutcome;
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.settings.SubtreeId;

/**
 * Drives a {@link LedgerClient} until the result of a read or a write is known.
 *
 * <p>A read continues for as long as the log delivers at least one new record within each timeout,
 * because a long log isn't an outage. A write ends when the timeout has passed: if other writers
 * append to the log, there are always new records, even while the log refuses the appends of this
 * session. An entry counts as written only once it has been read back. After a {@link
 * SubmissionResult.Unknown} the session must not be used again.
 */
public final class LedgerSession {
  /** The longest wait for a completion before the client's own timeouts are checked again. */
  private static final Duration COMPLETION_POLL_TIMEOUT = Duration.ofMillis(20);

  private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(200);

  private final StreamId stream;
  private final HttpLogClient log;
  private final Duration timeout;
  private final InstantSource clock;
  private final LedgerClient client;
  private final LinkedBlockingQueue<Completion> completions = new LinkedBlockingQueue<>();
  private final Map<Ticket, Outcome> outcomes = new LinkedHashMap<>();
  private long readsStarted;
  private long lastReadThatReachedEnd;
  private int appendsInFlight;
  private boolean mayBeWritten;
  private Instant lastProgress = Instant.EPOCH;
  private String lastFailure = "no answer in time";

  LedgerSession(
      IncarnationId writer,
      StreamId stream,
      HttpLogClient log,
      Duration timeout,
      InstantSource clock) {
    this.stream = stream;
    this.log = log;
    this.timeout = timeout;
    this.clock = clock;
    this.client =
        new LedgerClient(writer, stream, LedgerConfig.DEFAULT, SettingsValidator.STANDARD, clock);
  }

  /**
   * The completion of a log command: {@code readNumber} numbers the read, and is zero for an
   * append.
   */
  private record Completion(LogEvent event, long readNumber, boolean mayBeWritten) {}

  /** Returns the stream that this session reads and writes. */
  public StreamId stream() {
    return stream;
  }

  /** Reads the stream up to the end that it has when this method is called. */
  public CatchUpResult catchUp() {
    lastProgress = clock.instant();
    long readsBefore = readsStarted;
    while (lastReadThatReachedEnd <= readsBefore) {
      if (progressTimedOut() || !step(Duration.ZERO)) {
        return new CatchUpResult.Unreachable(client.problem().orElse(lastFailure));
      }
    }
    return new CatchUpResult.Done(client.state());
  }

  /**
   * Writes the entries as one record and waits until they have been read back or the timeout has
   * passed.
   */
  public SubmissionResult submit(List<Entry> entries) {
    Instant deadline = clock.instant().plus(timeout);
    mayBeWritten = false;
    List<Ticket> tickets = entries.stream().map(entry -> client.submit(entry, true)).toList();
    while (!outcomes.keySet().containsAll(tickets)) {
      if (!client.drainLostTickets().isEmpty()) {
        return new SubmissionResult.Unknown("its record expired before it was read back");
      }
      if (!clock.instant().isBefore(deadline) || !step(LONG_POLL_TIMEOUT)) {
        return mayBeWritten || appendsInFlight > 0
            ? new SubmissionResult.Unknown(lastFailure)
            : new SubmissionResult.NotWritten(lastFailure);
      }
    }
    List<Outcome> readBack = new ArrayList<>();
    for (Ticket ticket : tickets) {
      Outcome outcome = outcomes.remove(ticket);
      if (outcome != null) {
        readBack.add(outcome);
      }
    }
    return new SubmissionResult.ReadBack(readBack);
  }

  /** Reads the publications of {@code subtree} that the log still retains. */
  public PublicationsResult publications(SubtreeId subtree) {
    Publications publications = new Publications(subtree);
    lastProgress = clock.instant();
    long from = 0;
    while (!progressTimedOut()) {
      switch (log.read(stream, from, Duration.ZERO).join()) {
        case LogEvent.RecordsRead read -> {
          recordProgress(read);
          publications.add(read.records());
          from += read.records().size();
          if (from >= read.nextOffset()) {
            return new PublicationsResult.Found(publications);
          }
        }
        case LogEvent.OffsetExpired expired -> from = expired.earliestOffset();
        case LogEvent.ReadFailed failed -> lastFailure = failed.detail();
        case LogEvent.AppendAcknowledged acknowledged -> {}
        case LogEvent.AppendFailed failed -> {}
      }
    }
    return new PublicationsResult.Unreachable(lastFailure);
  }

  private boolean progressTimedOut() {
    return !clock.instant().isBefore(lastProgress.plus(timeout));
  }

  private void recordProgress(LogEvent.RecordsRead read) {
    if (!read.records().isEmpty()) {
      lastProgress = clock.instant();
    }
  }

  /**
   * Starts the commands that the client requests and handles at most one completion; returns false
   * if the thread was interrupted.
   */
  private boolean step(Duration longPoll) {
    client.poll().forEach(command -> start(command, longPoll));
    try {
      Completion completion =
          completions.poll(COMPLETION_POLL_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
      if (completion != null) {
        handle(completion);
      }
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      lastFailure = "interrupted";
      return false;
    }
  }

  private void start(LogCommand command, Duration longPoll) {
    switch (command) {
      case LogCommand.Append append -> {
        appendsInFlight++;
        log.append(append)
            .thenAccept(
                done -> completions.add(new Completion(done.event(), 0, done.mayBeWritten())));
      }
      case LogCommand.Read read -> {
        long readNumber = ++readsStarted;
        log.read(read.stream(), read.fromOffset(), longPoll)
            .thenAccept(event -> completions.add(new Completion(event, readNumber, false)));
      }
    }
  }

  private void handle(Completion completion) {
    if (completion.readNumber() == 0) {
      appendsInFlight--;
      mayBeWritten |= completion.mayBeWritten();
    }
    recordFailure(completion.event());
    for (EntryOutcome entryOutcome : client.handle(completion.event())) {
      client.ticket(entryOutcome).ifPresent(ticket -> outcomes.put(ticket, entryOutcome.outcome()));
    }
    if (completion.event() instanceof LogEvent.RecordsRead read) {
      recordProgress(read);
      recordEndOfLog(read, completion.readNumber());
    }
  }

  private void recordEndOfLog(LogEvent.RecordsRead read, long readNumber) {
    // Only a read that started after the call of catchUp() counts. An older read may have been
    // answered before the record that the operator wants to see was written.
    if (client.problem().isEmpty() && client.foldedTo() + 1 >= read.nextOffset()) {
      lastReadThatReachedEnd = Math.max(lastReadThatReachedEnd, readNumber);
    }
  }

  private void recordFailure(LogEvent event) {
    @Nullable String detail =
        switch (event) {
          case LogEvent.AppendFailed failed -> failed.detail();
          case LogEvent.ReadFailed failed -> failed.detail();
          case LogEvent.AppendAcknowledged acknowledged -> null;
          case LogEvent.RecordsRead read -> null;
          case LogEvent.OffsetExpired expired -> null;
        };
    if (detail != null) {
      lastFailure = detail;
    }
  }
}
