package org.teaseldeal.ledger.fold;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.ledger.ChargeId;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.ledger.codec.Batch;
import org.teaseldeal.ledger.codec.BatchCodec;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.LedgerState;

/**
 * Folds the records of one stream, in offset order, into the ledger's state.
 *
 * <p>The result depends on the records alone. All instances that have folded the same records have
 * the same state and the same {@linkplain #export() exported bytes}, even if one of them
 * {@linkplain #restore restored} an export on the way. A settings revision and an order term are
 * each the offset of their record plus one, so zero always means that there is none. Not
 * thread-safe.
 */
public final class LedgerFold {
  private final StreamId stream;
  private final KeyRetention defaults;
  private final SettingsValidator validator;
  private LedgerTables tables;
  private long records;
  private long repeats;
  private long sequenceGaps;
  private long fromEndedWriters;
  private long malformed;
  private long skipped;

  /** Creates the fold of {@code stream}, with no record folded yet. */
  public LedgerFold(StreamId stream, KeyRetention defaults, SettingsValidator validator) {
    this.stream = stream;
    this.defaults = defaults;
    this.validator = validator;
    tables = new LedgerTables(defaults, validator);
  }

  /**
   * Returns the state after the last folded record. {@link #restore} replaces the object, so
   * callers must not keep it.
   */
  public LedgerState state() {
    return tables;
  }

  /** Returns the counters of the records folded since this object was created. */
  public FoldCounters counters() {
    return new FoldCounters(records, repeats, sequenceGaps, fromEndedWriters, malformed, skipped);
  }

  /** Returns the state in its export format. */
  public byte[] export() {
    return tables.export(stream);
  }

  /**
   * Replaces the state by an exported one.
   *
   * @throws IllegalArgumentException if {@code exported} can't be read, belongs to another stream,
   *     or ends at a lower offset than the current state
   */
  public void restore(byte[] exported) {
    LedgerTables restored = LedgerTables.read(exported, stream, defaults, validator);
    Preconditions.require(
        restored.foldedTo() >= tables.foldedTo(),
        "state was folded to %d, expected at least %d"
            .formatted(restored.foldedTo(), tables.foldedTo()));
    tables = restored;
  }

  /**
   * Folds the next record and returns the outcome of each entry that was applied or rejected.
   *
   * <p>A snapshot chunk that does not complete its snapshot has no outcome. No payload makes this
   * method throw.
   *
   * @throws IllegalArgumentException if the offset of {@code record} does not directly follow the
   *     last folded one
   */
  public List<EntryOutcome> fold(LogRecord record) {
    Preconditions.require(
        record.offset() == tables.foldedTo() + 1,
        "offset was %d, expected %d".formatted(record.offset(), tables.foldedTo() + 1));
    records++;
    tables.advance(record.offset(), record.appendedAt());
    return switch (BatchCodec.decode(record.payload())) {
      case BatchCodec.Decoded.Malformed ignored -> {
        malformed++;
        yield List.of();
      }
      case BatchCodec.Decoded.Valid valid -> acceptBatch(valid.batch(), valid.skipped());
    };
  }

  private List<EntryOutcome> acceptBatch(Batch batch, int skippedEntries) {
    Optional<Writer> known = tables.writers.find(batch.writer());
    if (known.isPresent() && known.get().ended) {
      fromEndedWriters++;
      return List.of();
    }
    long expected = known.map(writer -> writer.lastSequence).orElse(0L) + 1;
    if (batch.sequence() < expected) {
      repeats++;
      return List.of();
    }
    if (batch.sequence() > expected) {
      sequenceGaps++;
      return List.of();
    }
    skipped += skippedEntries;
    return apply(batch, tables.writers.add(batch.writer()));
  }

  private List<EntryOutcome> apply(Batch batch, Writer writer) {
    writer.lastSequence = batch.sequence();
    writer.foldedTo = batch.foldedTo();
    writer.lastSeenMillis = tables.logMillis();
    List<EntryOutcome> outcomes = new ArrayList<>(batch.entries().size());
    for (int index = 0; index < batch.entries().size(); index++) {
      int position = index;
      apply(batch.entries().get(index), writer)
          .map(outcome -> entryOutcome(batch, position, outcome))
          .ifPresent(outcomes::add);
    }
    return outcomes;
  }

  private EntryOutcome entryOutcome(Batch batch, int index, Outcome outcome) {
    return new EntryOutcome(batch.writer(), batch.sequence(), index, tables.foldedTo(), outcome);
  }

  private Optional<Outcome> apply(Entry entry, Writer writer) {
    if (writer.ended) {
      return Optional.of(new Outcome.Rejected(entry, "the writer has ended"));
    }
    if (entry instanceof Entry.SnapshotChunk chunk) {
      return applyChunk(chunk, writer);
    }
    return Optional.of(outcome(entry, writer));
  }

  private Outcome outcome(Entry entry, Writer writer) {
    long now = tables.logMillis();
    long position = tables.foldedTo() + 1;
    return switch (entry) {
      case Entry.Join e -> join(e, writer);
      case Entry.Leave e -> endWriter(writer);
      case Entry.Retire e -> retire(e);
      case Entry.PublishSettings e -> tables.settings.publish(e, position);
      case Entry.CreateBudget e -> tables.budgets.create(e, now);
      case Entry.TopUp e -> tables.budgets.topUp(e, now);
      case Entry.RequestLease e -> tables.budgets.lease(e, writer);
      case Entry.ReturnLease e -> tables.budgets.returnTokens(e);
      case Entry.Charge e -> charge(e);
      case Entry.WriteOff e -> writeOff(e);
      case Entry.Claim e -> tables.claims.claim(e, writer.incarnation, now);
      case Entry.ClaimOutcome e -> tables.claims.answer(e, writer.incarnation, now);
      case Entry.ReleaseClaim e -> tables.claims.release(e, writer.incarnation);
      case Entry.TakeOrders e -> tables.orders.take(e, writer.incarnation, position);
      case Entry.SnapshotChunk e ->
          throw new IllegalStateException("Snapshot chunks are handled before this switch");
    };
  }

  private static Outcome join(Entry.Join entry, Writer writer) {
    writer.join(entry);
    return new Outcome.Joined(entry);
  }

  private Outcome endWriter(Writer writer) {
    return new Outcome.Retired(writer.incarnation, tables.budgets.endSource(writer));
  }

  private Outcome retire(Entry.Retire entry) {
    Writer target = tables.writers.add(entry.incarnation());
    target.lastSeenMillis = Math.max(target.lastSeenMillis, tables.logMillis());
    return endWriter(target);
  }

  private Outcome charge(Entry.Charge entry) {
    IncarnationId originId = entry.id().origin();
    if (tables.charged(entry.id())) {
      return new Outcome.ChargeRepeated(entry.id(), entry.request(), entry.id());
    }
    Optional<ChargeId> first =
        entry.keyed() ? tables.keyedCharges.find(entry.request()) : Optional.empty();
    if (first.isPresent()) {
      markCharged(originId, entry.id().number());
      return new Outcome.ChargeRepeated(entry.id(), entry.request(), first.get());
    }
    if (!tables.budgets.isCovered(entry.service(), entry.draws())) {
      return new Outcome.Rejected(entry, "a source holds less than was drawn on it");
    }
    tables.budgets.charge(entry.service(), entry.draws());
    Writer origin = markCharged(originId, entry.id().number());
    if (entry.keyed()) {
      tables.keyedCharges.add(entry.request(), origin, entry.id().number(), tables.logMillis());
    }
    return new Outcome.Charged(entry.id(), entry.request(), entry.service(), entry.tokens());
  }

  private Outcome writeOff(Entry.WriteOff entry) {
    if (tables.charged(entry.id())) {
      return new Outcome.Rejected(entry, "the id was counted before");
    }
    if (!tables.budgets.isCovered(entry.service(), entry.draws())) {
      return new Outcome.Rejected(entry, "a source holds less than was drawn on it");
    }
    tables.budgets.writeOff(entry.service(), entry.draws());
    markCharged(entry.id().origin(), entry.id().number());
    long tokens = entry.draws().stream().mapToLong(draw -> draw.tokens()).sum();
    return new Outcome.WrittenOff(entry.id(), entry.service(), tokens);
  }

  private Writer markCharged(IncarnationId origin, long number) {
    Writer writer = tables.writers.add(origin);
    writer.lastSeenMillis = Math.max(writer.lastSeenMillis, tables.logMillis());
    writer.markCharged(number);
    return writer;
  }

  private Optional<Outcome> applyChunk(Entry.SnapshotChunk chunk, Writer writer) {
    if (chunk.coveredOffset() < 0 || chunk.coveredOffset() >= tables.foldedTo()) {
      return Optional.of(new Outcome.Rejected(chunk, "the snapshot covers offsets yet to come"));
    }
    Optional<Boolean> complete = writer.acceptChunk(chunk);
    if (complete.isEmpty()) {
      return Optional.of(new Outcome.Rejected(chunk, "the chunk does not follow the one before"));
    }
    if (!complete.get()) {
      return Optional.empty();
    }
    tables.completeSnapshot(chunk.coveredOffset());
    return Optional.of(new Outcome.SnapshotComplete(chunk.coveredOffset()));
  }
}
