package org.teaseldeal.model;

import java.util.List;
import org.teaseldeal.api.Preconditions;

/** The mean of the differences within pairs of values, and its standard error. */
record PairedDifference(double meanBefore, double meanAfter, double mean, double standardError) {
  /** Compares the values of two lists that have the same index. */
  static PairedDifference of(List<Double> before, List<Double> after) {
    Preconditions.require(
        !before.isEmpty() && before.size() == after.size(),
        "lists had %d and %d values, expected the same number and at least one"
            .formatted(before.size(), after.size()));
    int count = before.size();
    double sum = 0;
    double squares = 0;
    double sumBefore = 0;
    for (int i = 0; i < count; i++) {
      double difference = after.get(i) - before.get(i);
      sumBefore += before.get(i);
      sum += difference;
      squares += difference * difference;
    }
    double mean = sum / count;
    double variance = count > 1 ? Math.max(0, (squares - count * mean * mean) / (count - 1)) : 0;
    double meanBefore = sumBefore / count;
    return new PairedDifference(meanBefore, meanBefore + mean, mean, Math.sqrt(variance / count));
  }
}
