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

/** Counts the requests in instance logs that weren't answered in time, by cause. */
public final class LossCounter {
  /**
   * Log times before this limit are seconds since the start of the load; later ones are times of
   * day.
   */
  private static final Instant RELATIVE_TIME_LIMIT = Instant.EPOCH.plus(Duration.ofDays(1));

  private final Map<String, InstanceLogAnalyzer> analyzers = new HashMap<>();
  private final RetryChains chains = new RetryChains();
  private final LogReader logReader = new LogReader(this::accept);
  private final Map<LossCause, CauseTotals> totals = new EnumMap<>(LossCause.class);
  private Instant firstEventAt = Instant.MAX;
  private long answeredInTime;

  private LossCounter() {}

  private void accept(LogReader.LogEntry entry) {
    firstEventAt = entry.time().isBefore(firstEventAt) ? entry.time() : firstEventAt;
    analyzers
        .computeIfAbsent(entry.instance(), name -> new InstanceLogAnalyzer(name, chains::add))
        .accept(entry);
  }

  /**
   * Reads the logs and counts their requests.
   *
   * @param sources files, directories, or a dash for {@code standardInput}
   * @throws IOException with the name of the source, if a source can't be read
   */
  public static LossReport of(
      List<String> sources, InputStream standardInput, OwedRequests owed, LossDimension by)
      throws IOException {
    LossCounter counter = new LossCounter();
    counter.logReader.readAll(sources, standardInput);
    counter.analyzers.values().forEach(InstanceLogAnalyzer::finish);
    return counter.report(owed, by);
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

  /**
   * Adds a row for the owed requests that no row accounts for. If the logs contain more lost
   * requests than were owed, nothing is added: the excess was not owed.
   */
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
