package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Adds up the requests that were lost for one cause. */
final class CauseSum {
  private final LossCause cause;
  private final Map<String, LossReport.Cell> byColumn = new TreeMap<>();
  private final Map<Integer, Double> worthBySecond = new TreeMap<>();
  private final List<Duration> beliefAges = new ArrayList<>();
  private LossReport.Cell all = LossReport.Cell.NONE;

  CauseSum(LossCause cause) {
    this.cause = cause;
  }

  /** Adds a request of {@code second} that was worth {@code worth}. */
  void add(AttemptRecord request, double worth, String column, int second) {
    LossReport.Cell one = new LossReport.Cell(1, worth);
    all = all.plus(one);
    byColumn.merge(column, one, LossReport.Cell::plus);
    worthBySecond.merge(second, worth, Double::sum);
    if (!request.beliefAge().isNegative()) {
      beliefAges.add(request.beliefAge());
    }
  }

  /** Adds requests of which nothing more is known. */
  void add(long requests) {
    all = all.plus(new LossReport.Cell(requests, requests));
  }

  long requests() {
    return all.requests();
  }

  LossReport.Row row() {
    return new LossReport.Row(
        cause.label(), cause.meaning(), all, medianAgeMillis(), byColumn, worthBySecond);
  }

  private double medianAgeMillis() {
    return beliefAges.isEmpty()
        ? -1
        : beliefAges.stream().sorted().toList().get(beliefAges.size() / 2).toNanos() / 1e6;
  }
}
