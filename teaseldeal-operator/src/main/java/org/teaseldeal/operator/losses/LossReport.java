package org.teaseldeal.operator.losses;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.report.TextTable;

/**
 * The requests that weren't answered in time, by cause.
 *
 * @param rows the costliest first
 * @param answeredInTime requests that the logs have as answered in time
 * @param owedUnserved requests that were owed and not answered in time; -1 if that isn't known
 * @param lines that were read
 * @param unreadable lines that look like events and aren't
 * @param unreadableLines the first of those, as file and line
 */
public record LossReport(
    List<Row> rows,
    long answeredInTime,
    long owedUnserved,
    long lines,
    long unreadable,
    List<String> unreadableLines)
    implements Report {
  /** Columns that fit beside each other; the rest is added up. */
  private static final int MAX_COLUMNS = 10;

  /** Requests and the worth that was lost with them. */
  public record Cell(long requests, double worth) {
    static final Cell NONE = new Cell(0, 0);

    Cell plus(Cell other) {
      return new Cell(requests + other.requests, worth + other.worth);
    }

    private String text() {
      return requests == 0 ? "" : "%d (%.1f)".formatted(requests, worth);
    }
  }

  /**
   * One cause.
   *
   * @param medianBeliefAgeMs how old the belief was that decided it; -1 if none is logged
   * @param bySecond worth lost, by second since the start of the load
   */
  public record Row(
      String cause,
      String meaning,
      Cell all,
      double medianBeliefAgeMs,
      Map<String, Cell> cells,
      Map<Integer, Double> bySecond) {
    public Row {
      cells = new TreeMap<>(cells);
      bySecond = new TreeMap<>(bySecond);
    }
  }

  public LossReport {
    rows = List.copyOf(rows);
    unreadableLines = List.copyOf(unreadableLines);
  }

  /** Requests of all rows. */
  long requests() {
    return rows.stream().mapToLong(row -> row.all().requests()).sum();
  }

  @Override
  public String text() {
    List<String> columns = columns();
    List<String> heads = new ArrayList<>(List.of("cause", "requests (worth)", "belief"));
    heads.addAll(columns);
    TextTable table = new TextTable(heads.toArray(String[]::new));
    for (Row row : rows) {
      List<Object> cells = new ArrayList<>();
      cells.add(row.cause());
      cells.add(row.all().text());
      cells.add(row.medianBeliefAgeMs() < 0 ? "" : "%.0f ms".formatted(row.medianBeliefAgeMs()));
      columns.forEach(column -> cells.add(row.cells().getOrDefault(column, Cell.NONE).text()));
      table.addRow(cells.toArray());
    }
    StringBuilder text = new StringBuilder(table.toString());
    text.append(
        "\n\n%d requests in %d lines, %d answered in time"
            .formatted(requests() + answeredInTime, lines, answeredInTime));
    if (owedUnserved >= 0) {
      text.append(
          "; %d that were owed were not answered in time, %d of the requests above were not owed"
              .formatted(owedUnserved, Math.max(0, requests() - owedUnserved)));
    }
    if (unreadable > 0) {
      text.append(
          "\n%d lines could not be read: %s"
              .formatted(unreadable, String.join("; ", unreadableLines)));
    }
    return text.toString();
  }

  /** The columns in which most is lost, in their own order. */
  private List<String> columns() {
    Map<String, Double> worth = new HashMap<>();
    rows.forEach(
        row -> row.cells().forEach((name, cell) -> worth.merge(name, cell.worth(), Double::sum)));
    return worth.entrySet().stream()
        .sorted((a, b) -> Double.compare(b.getValue(), a.getValue()))
        .limit(MAX_COLUMNS)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** This report beside another, with the difference by cause. */
  public Report against(LossReport before) {
    Map<String, Row> earlier = new TreeMap<>();
    before.rows.forEach(row -> earlier.put(row.cause(), row));
    TextTable table = new TextTable("cause", "before", "now", "requests", "worth");
    List<String> causes = new ArrayList<>(rows.stream().map(Row::cause).toList());
    earlier.keySet().stream().filter(cause -> !causes.contains(cause)).forEach(causes::add);
    for (String cause : causes) {
      Cell then = earlier.containsKey(cause) ? earlier.get(cause).all() : Cell.NONE;
      Cell now =
          rows.stream()
              .filter(row -> row.cause().equals(cause))
              .map(Row::all)
              .findFirst()
              .orElse(Cell.NONE);
      table.addRow(
          cause,
          then.text(),
          now.text(),
          "%+d".formatted(now.requests() - then.requests()),
          "%+.1f".formatted(now.worth() - then.worth()));
    }
    return new Difference(before, this, table.toString());
  }

  /** Two days side by side. */
  record Difference(LossReport before, LossReport now, String text) implements Report {}
}
