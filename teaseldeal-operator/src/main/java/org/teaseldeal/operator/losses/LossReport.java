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
 * @param rows one row for each cause, the greatest loss of worth first
 * @param answeredInTime the number of requests that the logs record as answered in time
 * @param owedUnserved the number of requests that were owed an answer and weren't answered in time;
 *     -1 if it isn't known
 * @param lines the number of log lines read as events
 * @param unreadable the number of lines that look like events but cannot be parsed
 * @param unreadableLines the first unreadable lines, as file and line number
 */
public record LossReport(
    List<Row> rows,
    long answeredInTime,
    long owedUnserved,
    long lines,
    long unreadable,
    List<String> unreadableLines)
    implements Report {
  /**
   * The largest number of columns that fit beside each other; the total column still includes the
   * others.
   */
  private static final int MAX_COLUMNS = 10;

  /** A number of requests and the worth that was lost with them. */
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
   * The losses for one cause.
   *
   * @param medianBeliefAgeMs the median age, in milliseconds, of the information on which instances
   *     based the outcomes; -1 if no age is logged
   * @param cells the losses by column
   * @param bySecond the worth lost in each second since the start of the load
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

  /** Returns the number of requests of all rows. */
  long requests() {
    return rows.stream().mapToLong(row -> row.all().requests()).sum();
  }

  @Override
  public String text() {
    List<String> columns = columns();
    List<String> headers = new ArrayList<>(List.of("cause", "requests (worth)", "belief"));
    headers.addAll(columns);
    TextTable table = new TextTable(headers.toArray(String[]::new));
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
          "; %d owed requests were not answered in time, %d of the requests above were not owed"
              .formatted(owedUnserved, Math.max(0, requests() - owedUnserved)));
    }
    if (unreadable > 0) {
      text.append(
          "\n%d lines could not be read: %s"
              .formatted(unreadable, String.join("; ", unreadableLines)));
    }
    return text.toString();
  }

  /** Returns the columns with the greatest loss of worth, in alphabetical order. */
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

  /** Compares this report with an earlier one, by cause. */
  public Report against(LossReport before) {
    Map<String, Row> earlier = new TreeMap<>();
    before.rows.forEach(row -> earlier.put(row.cause(), row));
    TextTable table = new TextTable("cause", "before", "now", "requests", "worth");
    List<String> causes = new ArrayList<>(rows.stream().map(Row::cause).toList());
    earlier.keySet().stream().filter(cause -> !causes.contains(cause)).forEach(causes::add);
    for (String cause : causes) {
      Cell earlierCell = earlier.containsKey(cause) ? earlier.get(cause).all() : Cell.NONE;
      Cell now =
          rows.stream()
              .filter(row -> row.cause().equals(cause))
              .map(Row::all)
              .findFirst()
              .orElse(Cell.NONE);
      table.addRow(
          cause,
          earlierCell.text(),
          now.text(),
          "%+d".formatted(now.requests() - earlierCell.requests()),
          "%+.1f".formatted(now.worth() - earlierCell.worth()));
    }
    return new Difference(before, this, table.toString());
  }

  /** Two reports and the table of their differences. */
  record Difference(LossReport before, LossReport now, String text) implements Report {}
}
