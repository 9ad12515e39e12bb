package org.teaseldeal.gateway.account;

/**
 * Sums of counts that saturate at {@link Long#MAX_VALUE} instead of overflowing to a negative
 * number.
 */
final class SaturatingSum {
  private SaturatingSum() {}

  /** Adds {@code counts}, none of which may be negative. */
  static long of(long... counts) {
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
