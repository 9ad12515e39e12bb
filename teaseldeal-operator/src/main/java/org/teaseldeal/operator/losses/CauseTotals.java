package org.teaseldeal.operator.losses;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Sums the requests that were lost for one cause. */
final class CauseTotals {
  private final LossCause cause;
  private final Map<String, LossReport.Cell> byColumn = new TreeMap<>();
  private final Map<Integer, Double> worthBySecond = new TreeMap<>();
  private final List<Duration> stateAges = new ArrayList<>();
  private LossReport.Cell total = LossReport.Cell.NONE;

  CauseTotals(LossCause cause) {
    this.cause = cause;
  }

  /** Adds a request that arrived in {@code second} and whose loss cost {@code worth}. */
  void add(AttemptRecord request, double worth, String column, int second) {
    LossReport.Cell lost = new LossReport.Cell(1, worth);
    total = total.plus(lost);
    byColumn.merge(column, lost, LossReport.Cell::plus);
    worthBySecond.merge(second, worth, Double::sum);
    if (!request.stateAge().isNegative()) {
      stateAges.add(request.stateAge());
    }
  }

  /** Adds requests of which only the number is known; each counts with a worth of 1. */
  void add(long requests) {
    total = total.plus(new LossReport.Cell(requests, requests));
  }

  long requests() {
    return total.requests();
  }

  LossReport.Row row() {
    return new LossReport.Row(
        cause.label(), cause.meaning(), total, medianStateAgeMs(), byColumn, worthBySecond);
  }

  private double medianStateAgeMs() {
    return stateAges.isEmpty()
        ? -1
        : stateAges.stream().sorted().toList().get(stateAges.size() / 2).toNanos() / 1e6;
  }
}
