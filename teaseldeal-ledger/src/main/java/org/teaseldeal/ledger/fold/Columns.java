package org.teaseldeal.ledger.fold;

import java.util.Arrays;

/** Grows arrays of primitive values that are used as table columns. */
final class Columns {
  private Columns() {}

  /**
   * Returns the new length of a column: at least {@code needed}, and an eighth more than {@code
   * length}.
   *
   * <p>Columns of hundreds of thousands of rows seldom grow, while unused slots at their end take
   * memory permanently, so the growth factor is small.
   */
  static int grownLength(int length, int needed) {
    return Math.max(needed, length + (length >> 3) + 8);
  }

  static int[] ensureIndex(int[] column, int index) {
    return index < column.length
        ? column
        : Arrays.copyOf(column, grownLength(column.length, index + 1));
  }

  static long[] ensureIndex(long[] column, int index) {
    return index < column.length
        ? column
        : Arrays.copyOf(column, grownLength(column.length, index + 1));
  }
}
