package org.teaseldeal.bench.load;

import java.util.List;
import java.util.Map;

/**
 * The result of a load, as written to a result file.
 *
 * @param label the label that distinguishes the run from others, such as its placement policy
 * @param seconds the duration of the scenario in seconds
 * @param byFlow the results by flow
 * @param byCustomer the results by customer
 * @param perSecond the outcomes of the requests that were due in each second
 * @param lagMillisMax the longest time by which the load generator sent a request too late
 */
public record LoadResult(
    String scenario,
    String title,
    String label,
    long seed,
    double seconds,
    Part all,
    Map<String, Part> byFlow,
    Map<String, Part> byCustomer,
    List<Second> perSecond,
    double lagMillisMax) {
  /** The number of requests, their outcomes and their latencies. */
  public record Part(
      long sent,
      Map<Outcome, Long> outcomes,
      Map<String, Long> causes,
      long frames,
      Percentiles toFirstMillis,
      Percentiles toEndMillis,
      Percentiles gapMillis) {
    /** Returns the share of requests that were answered completely and in time. */
    public double inTimeShare() {
      return sent == 0 ? 1 : (double) outcomes.getOrDefault(Outcome.IN_TIME, 0L) / sent;
    }
  }

  /** The outcomes of the requests that were due in one second of the load. */
  public record Second(
      int second, long sent, long inTime, long late, long refused, long other, double toFirstP95) {}
}
