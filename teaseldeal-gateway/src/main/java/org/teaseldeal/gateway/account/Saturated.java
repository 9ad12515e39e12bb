package org.teaseldeal.gateway.account;

/** Sums of counts that stay at the largest number instead of passing below zero. */
final class Saturated {
  private Saturated() {}

  /** Adds counts that aren't negative. */
  static long sum(long... counts) {
    long sum = 0;
    for (long count : counts) {
      sum += count;
      if (sum < 0) {
        return Long.MAX_VALUE;
      }
    }
    return sum;
  }
}
