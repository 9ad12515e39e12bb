package org.teaseldeal.ledger.fold;

import java.time.Instant;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.state.InstanceView;

/**
 * Holds the fold's state of one incarnation that has written to the log or is named by an entry.
 */
final class Writer {
  final int number;
  final IncarnationId incarnation;
  long lastSequence;
  long foldedTo = -1;
  long lastSeenMillis;
  boolean ended;
  private Entry.@Nullable Join join;
  private long chargeWatermark = 1;
  private final TreeSet<Long> chargesAboveWatermark = new TreeSet<>();
  private @Nullable SnapshotProgress snapshot;

  Writer(int id, IncarnationId incarnation) {
    this.number = id;
    this.incarnation = incarnation;
  }

  /** Returns whether the incarnation has joined and has not ended. */
  boolean isLive() {
    return join != null && !ended;
  }

  void join(Entry.Join entry) {
    join = entry;
  }

  /** Returns whether the charge {@code number} of this origin has been counted. */
  boolean charged(long number) {
    return number < chargeWatermark || chargesAboveWatermark.contains(number);
  }

  /**
   * Records the charge {@code number} as counted. All numbers below a watermark are counted; the
   * few counted numbers above it are kept one by one.
   */
  void markCharged(long number) {
    chargesAboveWatermark.add(number);
    while (chargesAboveWatermark.remove(chargeWatermark)) {
      chargeWatermark++;
    }
  }

  /**
   * Accepts a snapshot chunk and returns whether it completes the snapshot; empty if the chunk does
   * not follow the previous one.
   */
  Optional<Boolean> acceptChunk(Entry.SnapshotChunk chunk) {
    Optional<SnapshotProgress> next = SnapshotProgress.after(snapshot, chunk);
    if (next.isEmpty()) {
      return Optional.empty();
    }
    boolean complete = next.get().isComplete();
    snapshot = complete ? null : next.get();
    return Optional.of(complete);
  }

  Optional<InstanceView> view() {
    if (join == null || ended) {
      return Optional.empty();
    }
    return Optional.of(
        new InstanceView(
            incarnation,
            join.instance(),
            join.dataCentre(),
            join.peerAddress(),
            foldedTo,
            Instant.ofEpochMilli(lastSeenMillis)));
  }

  void write(StateWriter out) {
    out.number(number).text(incarnation.value()).number(lastSequence).number(foldedTo);
    out.number(lastSeenMillis).flag(ended).flag(join != null);
    if (join != null) {
      out.text(join.instance().name()).text(join.dataCentre().name()).text(join.peerAddress());
    }
    out.number(chargeWatermark).number(chargesAboveWatermark.size());
    chargesAboveWatermark.forEach(out::number);
    out.flag(snapshot != null);
    if (snapshot != null) {
      snapshot.write(out);
    }
  }

  static Writer read(StateReader in) {
    Writer writer = new Writer((int) in.number(), new IncarnationId(in.text()));
    writer.lastSequence = in.number();
    writer.foldedTo = in.number();
    writer.lastSeenMillis = in.number();
    writer.ended = in.flag();
    if (in.flag()) {
      writer.join = new Entry.Join(new InstanceId(in.text()), new DataCentre(in.text()), in.text());
    }
    writer.chargeWatermark = in.number();
    int aboveWatermark = in.count();
    for (int i = 0; i < aboveWatermark; i++) {
      writer.chargesAboveWatermark.add(in.number());
    }
    writer.snapshot = in.flag() ? SnapshotProgress.read(in) : null;
    return writer;
  }
}
