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
public final class LossCounter {
  /** Times before this are seconds since the load began, later ones are times of day. */
  private static final Instant RELATIVE_TIME_LIMIT = Instant.EPOCH.plus(Duration.ofDays(1));

  private final Map<String, InstanceLogAnalyzer> analyzers = new HashMap<>();
  private final RetryChains chains = new RetryChains();
  private final LogReader logReader = new LogReader(this::accept);
  private final Map<LossCause, CauseTotals> totals = new EnumMap<>(LossCause.class);
  private Instant firstEventAt = Instant.MAX;
  private long answeredInTime;

  private LossCounter() {}

  private void accept(LogReader.LogEntry line) {
    firstEventAt = line.time().isBefore(firstEventAt) ? line.time() : firstEventAt;
    analyzers
        .computeIfAbsent(line.instance(), name -> new InstanceLogAnalyzer(name, chains::add))
        .accept(line);
  }

  /**
   * Counts what the logs tell.
   *
   * @param sources files, directories, or a dash for {@code standardInput}
   * @throws IOException with its name, if a source can't be read
   */
  public static LossReport of(
      List<String> sources, InputStream standardInput, OwedRequests owed, LossDimension by)
      throws IOException {
    LossCounter count = new LossCounter();
    count.logReader.readAll(sources, standardInput);
    count.analyzers.values().forEach(InstanceLogAnalyzer::finish);
    return count.report(owed, by);
  }

  private LossReport report(OwedRequests owed, LossDimension by) {
    Instant start = firstEventAt.isBefore(RELATIVE_TIME_LIMIT) ? Instant.EPOCH : firstEventAt;
    chains.forEach(request -> add(request, owed, by, start));
    owed.unserved().ifPresent(this::addNotSeen);
    return new LossReport(
        totals.values().stream()
            .map(CauseTotals::row)
            .sorted(Comparator.comparingDouble(row -> -row.all().worth()))
            .toList(),
        answeredInTime,
        owed.unserved().orElse(-1L),
        logReader.read(),
        logReader.unreadableCount(),
        logReader.unreadableLines());
  }

  private void add(AttemptRecord request, OwedRequests owed, LossDimension by, Instant start) {
    if (request.outcome() == AttemptOutcome.IN_TIME) {
      answeredInTime++;
      return;
    }
    String column = by.column(request, start);
    totalsOf(request.cause())
        .add(
            request,
            owed.lostWorth(request.kind(), request.outcome()),
            by == LossDimension.KIND ? owed.displayName(column) : column,
            (int) Duration.between(start, request.arrived()).toSeconds());
  }

  /** What was owed and isn't among the causes; what the logs have beyond it was not owed. */
  private void addNotSeen(long unserved) {
    long seen = totals.values().stream().mapToLong(CauseTotals::requests).sum();
    if (unserved > seen) {
      totalsOf(LossCause.NOT_SEEN).add(unserved - seen);
    }
  }

  private CauseTotals totalsOf(LossCause cause) {
    return totals.computeIfAbsent(cause, CauseTotals::new);
  }
}
