package org.teaseldeal.operator.report;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A text table with aligned columns. */
public final class TextTable {
  private static final String COLUMN_GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with the given column headers. */
  public TextTable(String... headers) {
    rows.add(List.of(headers));
  }

  /** Adds a row, which must have one cell for each column. */
  public TextTable addRow(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      row.add(String.valueOf(cell));
    }
    rows.add(row);
    return this;
  }

  /** Returns the table as text, without a line break at its end. */
  @Override
  public String toString() {
    int[] widths = new int[rows.getFirst().size()];
    for (List<String> row : rows) {
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    return rows.stream().map(row -> line(row, widths)).collect(Collectors.joining("\n"));
  }

  private static String line(List<String> row, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      line.append(row.get(i))
          .append(" ".repeat(widths[i] - row.get(i).length()))
          .append(COLUMN_GAP);
    }
    return line.toString().stripTrailing();
  }
}
