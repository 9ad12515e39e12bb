package org.teaseldeal.bench.fault;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaseldeal.bench.fault.HistoryEvent.FaultInjected;

/**
 * Counts how often each kind of fault was injected while requests were in each stage.
 *
 * <p>A pair of fault and stage with the count zero has not been tested by the run.
 */
final class Coverage {
  private final TreeMap<String, TreeMap<String, Integer>> counts = new TreeMap<>();

  void add(History history) {
    history
        .all(FaultInjected.class)
        .forEach(
            injected -> {
              TreeMap<String, Integer> row =
                  counts.computeIfAbsent(injected.fault(), fault -> new TreeMap<>());
              row.merge("struck", 1, Integer::sum);
              injected.stages().forEach((stage, requests) -> row.merge(stage, 1, Integer::sum));
            });
  }

  String format() {
    return counts.entrySet().stream()
        .map(row -> "  %-22s %s".formatted(row.getKey(), cells(row.getValue())))
        .collect(Collectors.joining(System.lineSeparator()));
  }

  private static String cells(Map<String, Integer> row) {
    return row.entrySet().stream()
        .map(cell -> cell.getKey().toLowerCase() + " " + cell.getValue())
        .collect(Collectors.joining(", "));
  }
}
