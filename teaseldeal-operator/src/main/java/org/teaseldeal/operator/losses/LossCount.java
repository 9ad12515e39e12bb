package org.teaseldeal.operator.losses;

import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts the requests of some logs that weren't answered in time, by cause. */
public final class LossCount {
  /** Times before this are seconds since the load began, later ones are times of day. */
  private static final Instant WITH_SECONDS = Instant.EPOCH.plus(Duration.ofDays(1));

  private final Map<String, InstanceStory> stories = new HashMap<>();
  private final RequestChains chains = new RequestChains();
  private final LogLines lines = new LogLines(this::take);
  private final Map<LossCause, CauseSum> sums = new EnumMap<>(LossCause.class);
  private Instant first = Instant.MAX;
  private long answeredInTime;

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
    chains.forEach(request -> add(request, owed, by, start));
    owed.unserved().ifPresent(this::addNotSeen);
    return new LossReport(
        sums.values().stream()
            .map(CauseSum::row)
            .sorted(Comparator.comparingDouble(row -> -row.all().worth()))
            .toList(),
        answeredInTime,
        owed.unserved().orElse(-1L),
        lines.read(),
        lines.unreadableCount(),
        lines.unreadable());
  }

  private void add(AttemptRecord request, Owed owed, Dimension by, Instant start) {
    if (request.verdict() == Verdict.IN_TIME) {
      answeredInTime++;
      return;
    }
    String column = by.column(request, start);
    sum(request.cause())
        .add(
            request,
            owed.lost(request.kind(), request.verdict()),
            by == Dimension.KIND ? owed.name(column) : column,
            (int) Duration.between(start, request.arrived()).toSeconds());
  }

  /** What was owed and isn't among the causes; what the logs have beyond it was not owed. */
  private void addNotSeen(long unserved) {
    long seen = sums.values().stream().mapToLong(CauseSum::requests).sum();
    if (unserved > seen) {
      sum(LossCause.NOT_SEEN).add(unserved - seen);
    }
  }

  private CauseSum sum(LossCause cause) {
    return sums.computeIfAbsent(cause, CauseSum::new);
  }
}
