package org.teaseldeal.ledger.client;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.codec.EntryCodec;
import org.teaseldeal.ledger.entry.Entry;

/**
 * Gathers entries into records and appends one record at a time.
 *
 * <p>A record is done when it has been read back. Until then the same bytes are appended again
 * after each failure or timeout, because the acknowledgement of a successful append can be lost. A
 * surplus copy is harmless, since the fold ignores it by its sequence number; a missing record
 * would lose its entries.
 */
final class Appender {
  /** An acknowledged record that is not read back is appended again after this many timeouts. */
  private static final int ACKNOWLEDGED_TIMEOUTS = 4;

  private final IncarnationId self;
  private final StreamId stream;
  private final AppendConfig config;
  private final ArrayDeque<PendingBatch> queue = new ArrayDeque<>();
  private @Nullable InFlight inFlight;
  private Instant lastAppendAt = Instant.MIN;
  private long nextSequence = 1;
  private long lastSent;
  private long lastReadBack;
  private long nextToken = 1;
  private long appends;
  private long repeats;
  private long bytes;
  private long failures;

  Appender(IncarnationId self, StreamId stream, AppendConfig config) {
    this.self = self;
    this.stream = stream;
    this.config = config;
  }

  Ticket submit(Entry entry, boolean urgent, Instant now) {
    int size = EntryCodec.size(entry);
    PendingBatch last = queue.peekLast();
    if (last == null || !last.fits(size, config.maxBatchBytes())) {
      last = new PendingBatch(nextSequence++, now);
      queue.add(last);
    }
    return last.add(entry, size, urgent);
  }

  /** Returns the append that is due now, if any. */
  Optional<LogCommand> poll(Instant now, long foldedTo) {
    if (inFlight != null) {
      return retryIfDue(inFlight, now, foldedTo);
    }
    PendingBatch head = queue.peek();
    if (head == null || !isDue(head, now)) {
      return Optional.empty();
    }
    queue.remove();
    Batch batch = new Batch(self, head.sequence, foldedTo, head.entries);
    InFlight record = new InFlight(head, BatchCodec.encode(batch), now);
    inFlight = record;
    lastSent = head.sequence;
    return Optional.of(append(record, now));
  }

  private boolean isDue(PendingBatch head, Instant now) {
    if (now.isBefore(later(lastAppendAt, config.minInterval()))) {
      return false;
    }
    return head.urgent()
        || queue.size() > 1
        || head.isFull(config.maxBatchBytes())
        || !now.isBefore(head.openedAt.plus(config.flushInterval()));
  }

  private Optional<LogCommand> retryIfDue(InFlight record, Instant now, long foldedTo) {
    if (now.isBefore(
        isMissingAtAcknowledgedOffset(record, foldedTo)
            ? record.timeoutAt
            : record.nextAttemptAt)) {
      return Optional.empty();
    }
    if (record.awaitingAcknowledgement) {
      failures++;
    }
    repeats++;
    return Optional.of(append(record, now));
  }

  /**
   * Returns whether the offset named in the acknowledgement has been folded without finding the
   * record there.
   */
  private static boolean isMissingAtAcknowledgedOffset(InFlight record, long foldedTo) {
    return record.acknowledgedOffset >= 0 && foldedTo >= record.acknowledgedOffset;
  }

  private LogCommand append(InFlight record, Instant now) {
    record.token = nextToken++;
    record.attempts++;
    record.awaitingAcknowledgement = true;
    record.acknowledgedOffset = -1;
    record.timeoutAt = now.plus(config.timeout());
    record.nextAttemptAt = record.timeoutAt;
    lastAppendAt = now;
    appends++;
    bytes += record.payload.length;
    return new LogCommand.Append(stream, record.token, record.payload);
  }

  void onAcknowledged(long token, long offset, Instant now) {
    if (inFlight != null && inFlight.token == token) {
      inFlight.awaitingAcknowledgement = false;
      inFlight.acknowledgedOffset = offset;
      inFlight.nextAttemptAt = now.plus(config.timeout().multipliedBy(ACKNOWLEDGED_TIMEOUTS));
    }
  }

  void onFailed(long token, Instant now) {
    if (inFlight != null && inFlight.token == token) {
      inFlight.awaitingAcknowledgement = false;
      inFlight.nextAttemptAt = now.plus(config.backoff().delay(inFlight.attempts, seed()));
      failures++;
    }
  }

  private long seed() {
    return self.hashCode() * 31L + lastSent;
  }

  /**
   * Reports that the fold has applied all records of this writer up to {@code sequence}. Returns
   * the tickets of the record in flight if it is among them.
   */
  List<Ticket> onReadBack(long sequence) {
    lastReadBack = Math.max(lastReadBack, sequence);
    if (inFlight == null || sequence < inFlight.batch.sequence) {
      return List.of();
    }
    List<Ticket> done = inFlight.batch.tickets();
    inFlight = null;
    return done;
  }

  /**
   * Returns whether {@code sequence}, the last one that the fold has applied from this writer, is
   * that of a record which this appender never sent.
   */
  boolean neverSent(long sequence) {
    return sequence > lastSent;
  }

  /**
   * Returns whether {@code sequence}, the last one that the fold has applied from this writer, is
   * lower than one reported before. The fold has then removed this writer and ignores its further
   * records.
   */
  boolean isForgottenByFold(long sequence) {
    return sequence < lastReadBack;
  }

  /**
   * Drops all records that are in flight or queued, and returns their tickets, which will get no
   * outcome.
   */
  List<Ticket> stop() {
    List<Ticket> lost = new ArrayList<>(onReadBack(Long.MAX_VALUE));
    queue.forEach(batch -> lost.addAll(batch.tickets()));
    queue.clear();
    return lost;
  }

  /** Returns whether a snapshot chunk can be added without delaying other entries. */
  boolean acceptsChunk() {
    return queue.size() <= 1 && (queue.isEmpty() || !queue.element().hasChunk());
  }

  boolean idle() {
    return inFlight == null && queue.isEmpty();
  }

  boolean isOutstandingFor(Duration duration, Instant now) {
    return inFlight != null && !now.isBefore(later(inFlight.firstAppendAt, duration));
  }

  long appends() {
    return appends;
  }

  long repeats() {
    return repeats;
  }

  long bytes() {
    return bytes;
  }

  long failures() {
    return failures;
  }

  private static Instant later(Instant instant, Duration duration) {
    return instant.equals(Instant.MIN) ? instant : instant.plus(duration);
  }

  /** The record in flight. */
  private static final class InFlight {
    final PendingBatch batch;
    final byte[] payload;
    final Instant firstAppendAt;
    long token;
    int attempts;
    boolean awaitingAcknowledgement;
    long acknowledgedOffset = -1;
    Instant timeoutAt = Instant.MIN;
    Instant nextAttemptAt = Instant.MIN;

    InFlight(PendingBatch batch, byte[] payload, Instant firstAppendAt) {
      this.batch = batch;
      this.payload = payload;
      this.firstAppendAt = firstAppendAt;
    }
  }
}
