package org.teaseldeal.operator.report;

import java.util.ArrayList;
import java.util.List;

/** The difference of two texts, line by line. */
public final class LineDiff {
  private final List<String> before;
  private final List<String> after;
  private final List<String> diff = new ArrayList<>();

  private LineDiff(String before, String after) {
    this.before = before.lines().toList();
    this.after = after.lines().toList();
  }

  /**
   * Every line of both texts, marked with a space where both have it, {@code -} where only {@code
   * before} does and {@code +} where only {@code after} does; empty if they are the same.
   */
  public static List<String> between(String before, String after) {
    return before.equals(after) ? List.of() : new LineDiff(before, after).lines();
  }

  private List<String> lines() {
    int shorter = Math.min(before.size(), after.size());
    int head = 0;
    while (head < shorter && before.get(head).equals(after.get(head))) {
      head++;
    }
    int tail = 0;
    while (tail < shorter - head
        && before.get(before.size() - 1 - tail).equals(after.get(after.size() - 1 - tail))) {
      tail++;
    }
    // The table below grows with the product of the lines compared, so what both ends have in
    // common is left out of it.
    addCommon(before.subList(0, head));
    compare(before.subList(head, before.size() - tail), after.subList(head, after.size() - tail));
    addCommon(before.subList(before.size() - tail, before.size()));
    return diff;
  }

  private void addCommon(List<String> lines) {
    lines.forEach(line -> diff.add("  " + line));
  }

  private void compare(List<String> old, List<String> fresh) {
    int[][] common = commonSubsequenceLengths(old, fresh);
    int i = 0;
    int j = 0;
    while (i < old.size() || j < fresh.size()) {
      if (i < old.size() && j < fresh.size() && old.get(i).equals(fresh.get(j))) {
        diff.add("  " + old.get(i++));
        j++;
      } else if (j == fresh.size() || (i < old.size() && common[i + 1][j] >= common[i][j + 1])) {
        diff.add("- " + old.get(i++));
      } else {
        diff.add("+ " + fresh.get(j++));
      }
    }
  }

  /** For each pair of positions, how many lines the rests of both texts have in common. */
  private static int[][] commonSubsequenceLengths(List<String> old, List<String> fresh) {
    int[][] common = new int[old.size() + 1][fresh.size() + 1];
    for (int i = old.size() - 1; i >= 0; i--) {
      for (int j = fresh.size() - 1; j >= 0; j--) {
        common[i][j] =
            old.get(i).equals(fresh.get(j))
                ? common[i + 1][j + 1] + 1
                : Math.max(common[i + 1][j], common[i][j + 1]);
      }
    }
    return common;
  }
}
