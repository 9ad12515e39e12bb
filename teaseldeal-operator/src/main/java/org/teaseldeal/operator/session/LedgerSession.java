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
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.ledger.fold.Settled;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.settings.SubtreeId;

/**
 * Drives a {@link LedgerClient} until the answer to a question is known.
 *
 * <p>Reading goes on for as long as the log gives something new within the session's timeout, as a
 * long log is no outage. Writing ends with the timeout: on a log that others write to, there is
 * always something new, even while it refuses what is written here. An entry counts as written only
 * once it has been read back. After a {@link SubmissionResult.Unknown} the session is to be given
 * up.
 */
public final class LedgerSession {
  /** How often the client is asked whether one of its own timeouts has passed. */
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
      IncarnationId self,
      StreamId stream,
      HttpLogClient log,
      Duration timeout,
      InstantSource clock) {
    this.stream = stream;
    this.log = log;
    this.timeout = timeout;
    this.clock = clock;
    this.client =
        new LedgerClient(self, stream, LedgerConfig.DEFAULT, SettingsValidator.STANDARD, clock);
  }

  /** What came of a command: {@code read} counts the reads, zero for an append. */
  private record Completion(LogEvent event, long readNumber, boolean mayBeWritten) {}

  /** The stream that this session is about. */
  public StreamId stream() {
    return stream;
  }

  /** Reads to the end of the log as it is now. */
  public CatchUpResult catchUp() {
    lastProgress = clock.instant();
    long begun = readsStarted;
    while (lastReadThatReachedEnd <= begun) {
      if (progressTimedOut() || !step(Duration.ZERO)) {
        return new CatchUpResult.Unreachable(client.problem().orElse(lastFailure));
      }
    }
    return new CatchUpResult.Done(client.state());
  }

  /** Writes entries as one record and waits until they have been read back. */
  public SubmissionResult submit(List<Entry> entries) {
    Instant deadline = clock.instant().plus(timeout);
    mayBeWritten = false;
    List<Ticket> tickets = entries.stream().map(entry -> client.submit(entry, true)).toList();
    while (!outcomes.keySet().containsAll(tickets)) {
      if (!client.takeLostTickets().isEmpty()) {
        return new SubmissionResult.Unknown("its record expired before it was read back");
      }
      if (!clock.instant().isBefore(deadline) || !step(LONG_POLL_TIMEOUT)) {
        return mayBeWritten || appendsInFlight > 0
            ? new SubmissionResult.Unknown(lastFailure)
            : new SubmissionResult.NotWritten(lastFailure);
      }
    }
    List<Outcome> found = new ArrayList<>();
    for (Ticket ticket : tickets) {
      Outcome outcome = outcomes.remove(ticket);
      if (outcome != null) {
        found.add(outcome);
      }
    }
    return new SubmissionResult.ReadBack(found);
  }

  /** The publications of {@code subtree} that the log still keeps. */
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
          if (from >= read.next()) {
            return new PublicationsResult.Found(publications);
          }
        }
        case LogEvent.OffsetExpired expired -> from = expired.earliest();
        case LogEvent.ReadFailed failed -> lastFailure = failed.detail();
        case LogEvent.AppendAnswered answered -> {}
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

  /** Begins what the client wants done and takes one completion; false if interrupted. */
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
        long number = ++readsStarted;
        log.read(read.stream(), read.fromOffset(), longPoll)
            .thenAccept(event -> completions.add(new Completion(event, number, false)));
      }
    }
  }

  private void handle(Completion completion) {
    if (completion.readNumber() == 0) {
      appendsInFlight--;
      mayBeWritten |= completion.mayBeWritten();
    }
    recordFailure(completion.event());
    for (Settled settled : client.handle(completion.event())) {
      client.ticket(settled).ifPresent(ticket -> outcomes.put(ticket, settled.outcome()));
    }
    if (completion.event() instanceof LogEvent.RecordsRead read) {
      recordProgress(read);
      recordEndOfLog(read, completion.readNumber());
    }
  }

  private void recordEndOfLog(LogEvent.RecordsRead read, long number) {
    // Only a read that began after the question was asked can answer it: an older one may have
    // been answered before the record that the operator has in mind was written.
    if (client.problem().isEmpty() && client.foldedTo() + 1 >= read.next()) {
      lastReadThatReachedEnd = Math.max(lastReadThatReachedEnd, number);
    }
  }

  private void recordFailure(LogEvent event) {
    @Nullable String detail =
        switch (event) {
          case LogEvent.AppendFailed failed -> failed.detail();
          case LogEvent.ReadFailed failed -> failed.detail();
          case LogEvent.AppendAnswered answered -> null;
          case LogEvent.RecordsRead read -> null;
          case LogEvent.OffsetExpired expired -> null;
        };
    if (detail != null) {
      lastFailure = detail;
    }
  }
}
