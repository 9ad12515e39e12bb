package org.teaseldeal.bench.load;

import org.HdrHistogram.Histogram;

/**
 * The percentiles of a set of times, in milliseconds with three significant digits.
 *
 * @param count the number of times
 */
public record Percentiles(double p50, double p95, double p99, double max, long count) {
  private static final double MICROS_PER_MILLISECOND = 1000.0;

  /** Computes the percentiles of a histogram of microseconds. */
  public static Percentiles of(Histogram micros) {
    return new Percentiles(
        micros.getValueAtPercentile(50) / MICROS_PER_MILLISECOND,
        micros.getValueAtPercentile(95) / MICROS_PER_MILLISECOND,
        micros.getValueAtPercentile(99) / MICROS_PER_MILLISECOND,
        micros.getMaxValue() / MICROS_PER_MILLISECOND,
        micros.getTotalCount());
  }
}
