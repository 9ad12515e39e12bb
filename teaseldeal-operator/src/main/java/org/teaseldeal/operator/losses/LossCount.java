package org.teaseldeal.operator.losses;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the requests of some logs that weren't answered in time, by cause. */
public final class LossCount {
  /** A load that starts later than this after the first line has its seconds in the lines. */
  private static final Instant WITH_SECONDS = Instant.EPOCH.plus(Duration.ofDays(1));

  private final Map<String, InstanceStory> stories = new HashMap<>();
  private final RequestChains chains = new RequestChains();
  private final LogLines lines = new LogLines(this::take);
  private Instant first = Instant.MAX;

  private LossCount() {}

  private void take(LogLines.Line line) {
    first = line.time().isBefore(first) ? line.time() : first;
    stories
        .computeIfAbsent(line.instance(), name -> new InstanceStory(name, chains::add))
        .take(line);
  }

  /**
   * Counts what the logs tell.
   *
   * @param sources files, directories, or a dash for {@code standardInput}
   * @throws IOException with its name, if a source can't be read
   */
  public static LossReport of(
      List<String> sources, InputStream standardInput, Owed owed, Dimension by) throws IOException {
    LossCount count = new LossCount();
    count.lines.readAll(sources, standardInput);
    count.stories.values().forEach(InstanceStory::end);
    return count.report(owed, by);
  }

  private LossReport report(Owed owed, Dimension by) {
    Instant start = first.isBefore(WITH_SECONDS) ? Instant.EPOCH : first;
    Map<LossCause, LossReport.Cell> byCause = new EnumMap<>(LossCause.class);
    Map<LossCause, Map<String, LossReport.Cell>> cells = new EnumMap<>(LossCause.class);
    Map<LossCause, List<Duration>> ages = new EnumMap<>(LossCause.class);
    Map<LossCause, Map<Integer, Double>> bySecond = new EnumMap<>(LossCause.class);
    long[] inTime = new long[1];
    chains.forEach(
        request -> {
          if (request.verdict() == Verdict.IN_TIME) {
            inTime[0]++;
            return;
          }
          LossCause cause = request.cause();
          LossReport.Cell one =
              new LossReport.Cell(1, owed.lost(request.kind(), request.verdict()));
          byCause.merge(cause, one, LossReport.Cell::plus);
          String column = by.column(request, start);
          cells
              .computeIfAbsent(cause, name -> new TreeMap<>())
              .merge(by == Dimension.KIND ? owed.name(column) : column, one, LossReport.Cell::plus);
          bySecond
              .computeIfAbsent(cause, name -> new TreeMap<>())
              .merge(
                  (int) Duration.between(start, request.arrived()).toSeconds(),
                  one.worth(),
                  Double::sum);
          if (!request.beliefAge().isNegative()) {
            ages.computeIfAbsent(cause, name -> new ArrayList<>()).add(request.beliefAge());
          }
        });
    owed.unserved().ifPresent(unserved -> addNotSeen(unserved, byCause));
    List<LossReport.Row> rows =
        byCause.entrySet().stream()
            .sorted((a, b) -> Double.compare(b.getValue().worth(), a.getValue().worth()))
            .map(
                entry ->
                    new LossReport.Row(
                        entry.getKey().label(),
                        entry.getKey().meaning(),
                        entry.getValue(),
                        median(ages.getOrDefault(entry.getKey(), List.of())),
                        cells.getOrDefault(entry.getKey(), Map.of()),
                        bySecond.getOrDefault(entry.getKey(), Map.of())))
            .toList();
    return new LossReport(
        rows,
        inTime[0],
        owed.unserved().orElse(-1L),
        lines.read(),
        lines.unreadableCount(),
        lines.unreadable());
  }

  /** What was owed and isn't among the causes; what the logs have beyond it was not owed. */
  private static void addNotSeen(long unserved, Map<LossCause, LossReport.Cell> byCause) {
    long seen = byCause.values().stream().mapToLong(LossReport.Cell::requests).sum();
    if (unserved > seen) {
      byCause.merge(
          LossCause.NOT_SEEN,
          new LossReport.Cell(unserved - seen, unserved - seen),
          LossReport.Cell::plus);
    }
  }

  private static double median(List<Duration> ages) {
    return ages.isEmpty()
        ? -1
        : ages.stream().sorted().toList().get(ages.size() / 2).toNanos() / 1e6;
  }
}
