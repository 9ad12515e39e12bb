package org.teaseldeal.operator.report;

import java.util.ArrayList;
import java.util.List;

/** Computes the line-by-line difference of two texts. */
public final class LineDiff {
  private final List<String> before;
  private final List<String> after;
  private final List<String> diff = new ArrayList<>();

  private LineDiff(String before, String after) {
    this.before = before.lines().toList();
    this.after = after.lines().toList();
  }

  /**
   * Returns every line of both texts, prefixed with a space if both texts contain it, with {@code
   * -} if only {@code before} contains it and with {@code +} if only {@code after} contains it. The
   * result is empty if the texts are equal.
   */
  public static List<String> between(String before, String after) {
    return before.equals(after) ? List.of() : new LineDiff(before, after).lines();
  }

  private List<String> lines() {
    int minSize = Math.min(before.size(), after.size());
    int prefix = 0;
    while (prefix < minSize && before.get(prefix).equals(after.get(prefix))) {
      prefix++;
    }
    int suffix = 0;
    while (suffix < minSize - prefix
        && before.get(before.size() - 1 - suffix).equals(after.get(after.size() - 1 - suffix))) {
      suffix++;
    }
    // The comparison table grows with the product of the numbers of compared lines, so the common
    // prefix and the common suffix are excluded from it.
    addCommon(before.subList(0, prefix));
    compare(
        before.subList(prefix, before.size() - suffix),
        after.subList(prefix, after.size() - suffix));
    addCommon(before.subList(before.size() - suffix, before.size()));
    return diff;
  }

  private void addCommon(List<String> lines) {
    lines.forEach(line -> diff.add("  " + line));
  }

  private void compare(List<String> original, List<String> updated) {
    int[][] common = commonSubsequenceLengths(original, updated);
    int i = 0;
    int j = 0;
    while (i < original.size() || j < updated.size()) {
      if (i < original.size() && j < updated.size() && original.get(i).equals(updated.get(j))) {
        diff.add("  " + original.get(i++));
        j++;
      } else if (j == updated.size()
          || (i < original.size() && common[i + 1][j] >= common[i][j + 1])) {
        diff.add("- " + original.get(i++));
      } else {
        diff.add("+ " + updated.get(j++));
      }
    }
  }

  /**
   * Returns, for each pair of positions, the length of the longest common subsequence of the lines
   * that follow in both texts.
   */
  private static int[][] commonSubsequenceLengths(List<String> original, List<String> updated) {
    int[][] common = new int[original.size() + 1][updated.size() + 1];
    for (int i = original.size() - 1; i >= 0; i--) {
      for (int j = updated.size() - 1; j >= 0; j--) {
        common[i][j] =
            original.get(i).equals(updated.get(j))
                ? common[i + 1][j + 1] + 1
                : Math.max(common[i + 1][j], common[i][j + 1]);
      }
    }
    return common;
  }
}
