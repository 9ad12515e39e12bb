package org.teaseldeal.bench.slope;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.IntFunction;
import java.util.function.ToDoubleFunction;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.bench.slope.Slope.Point;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.snapshot.SnapshotChunks;

/** Measures the ledger's cost by the size of its state and by the entries folded into it. */
final class LedgerSlopes {
  private static final int REPETITIONS = 5;
  private static final int MAX_RECORDS = 2_000;
  private static final int MAX_ENTRIES = 20_000;
  private static final int[] BATCH_SIZES = {1, 10, 50, 100};

  private final int budgets;

  LedgerSlopes(int budgets) {
    this.budgets = budgets;
  }

  List<Slope> measure() {
    List<Slope> slopes = new ArrayList<>();
    slopes.addAll(stateSlopes("budget", budgets, SampleEntries::budget));
    slopes.addAll(
        stateSlopes("settings subtree", budgets / 37, number -> SampleEntries.subtree(number, 0)));
    slopes.addAll(stateSlopes("lease", budgets / 10, LedgerSlopes::lease));
    slopes.addAll(stateSlopes("claim in its window", budgets / 10, EntryKind.CLAIM::entry));
    slopes.addAll(
        stateSlopes("remembered keyed charge", budgets / 5, EntryKind.KEYED_CHARGE::entry));
    for (EntryKind kind : EntryKind.values()) {
      slopes.addAll(entrySlopes(kind));
    }
    return slopes;
  }

  /**
   * Creates an entry for a lease of its own service, as the ledger keeps one lease per service and
   * holder.
   */
  private static Entry lease(int number) {
    return new Entry.RequestLease(new ServiceId(EntryKind.TEAM, "service-" + number), 1_000, 1_000);
  }

  private static List<Slope> stateSlopes(String per, int most, IntFunction<Entry> entry) {
    List<StateCost> costs = new ArrayList<>();
    // The first use of an entry kind also fills caches, which later measurements do not repeat.
    stateCost(most / 8, entry);
    for (int eighths : new int[] {1, 2, 4, 6, 8}) {
      costs.add(stateCost(most * eighths / 8, entry));
    }
    return List.of(
        fit("retained heap, octets", per, costs, StateCost::heapBytes),
        fit("exported state, octets", per, costs, StateCost::stateBytes),
        fit("export, us", per, costs, StateCost::exportMicros),
        fit("digest of the state, us", per, costs, StateCost::digestMicros),
        fit("restore, us", per, costs, StateCost::restoreMicros));
  }

  /**
   * Measures the cost of a state of one size. This is a separate method, because a log that the
   * stack frame of a caller still refers to would count as retained heap.
   */
  private static StateCost stateCost(int size, IntFunction<Entry> entry) {
    long before = ResourceMeter.retainedBytes();
    FoldedLog log = new FoldedLog();
    log.write(EntryKind.prerequisites());
    for (int from = 0; from < size; from += MAX_ENTRIES) {
      int first = from;
      log.write(FoldedLog.entries(Math.min(MAX_ENTRIES, size - from), n -> entry.apply(first + n)));
    }
    long heap = ResourceMeter.retainedBytes() - before;
    byte[] state = log.fold().export();
    return new StateCost(
        size,
        heap,
        state.length,
        ResourceMeter.minCpuMicros(REPETITIONS, () -> log.fold().export()),
        ResourceMeter.minCpuMicros(REPETITIONS, () -> SnapshotChunks.digest(state)),
        ResourceMeter.minCpuMicros(REPETITIONS, () -> FoldedLog.newFold().restore(state)));
  }

  private static Slope fit(
      String figure, String per, List<StateCost> costs, ToDoubleFunction<StateCost> value) {
    return Slope.fit(
        figure,
        per,
        costs.stream().map(cost -> new Point(cost.size, value.applyAsDouble(cost))).toList());
  }

  private static List<Slope> entrySlopes(EntryKind kind) {
    List<Point> bytesPerRecord = new ArrayList<>();
    List<Point> times = new ArrayList<>();
    for (int size : BATCH_SIZES) {
      int records = Math.min(MAX_RECORDS, MAX_ENTRIES / size);
      double fastest = Double.POSITIVE_INFINITY;
      long bytes = 0;
      for (int i = 0; i < REPETITIONS; i++) {
        FoldedLog log = new FoldedLog();
        log.write(EntryKind.prerequisites());
        List<LogRecord> written = log.records(FoldedLog.entries(records * size, kind::entry), size);
        bytes = written.stream().mapToLong(record -> record.payload().length).sum();
        fastest = Math.min(fastest, ResourceMeter.cpuMicros(() -> log.fold(written)));
      }
      bytesPerRecord.add(new Point(size, (double) bytes / records));
      times.add(new Point(size, fastest / records));
    }
    String name = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    String per = name + " entry in a record";
    return List.of(
        Slope.fit("octets of a log record", per, bytesPerRecord),
        Slope.fit("fold of a log record, us", per, times));
  }

  /** The cost of a ledger state of one size. */
  private record StateCost(
      int size,
      double heapBytes,
      double stateBytes,
      double exportMicros,
      double digestMicros,
      double restoreMicros) {}
}
