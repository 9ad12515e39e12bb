package org.teaseldeal.decisions;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Computes how many idle tokens of a prepaid total an instance keeps for times when it can't claim
 * more.
 *
 * <p>All instances may be partitioned from the shared log at once for seconds while tokens are
 * consumed steadily. Requests for which no tokens are available locally are then refused although
 * the total covers them. Therefore an instance keeps the tokens that it is likely to need during
 * the longest usual partition, plus two of its largest requests, because the next request of a
 * customer with little traffic exceeds the mean demand.
 *
 * <p>A load balancer may give instances uneven shares, and customers may use only a few instances.
 * With equal parts, some instances would refuse requests during a partition while others hold
 * tokens for which they get no requests. Therefore the remaining tokens are shared in proportion to
 * the demand that the instances report to each other.
 *
 * <p>Some of the tokens that an instance holds when it is killed are lost, because it is unknown
 * whether they were spent. Therefore part of the remaining tokens stays unassigned for the instance
 * that needs them first, and an instance without requests of a customer keeps few of that
 * customer's tokens.
 *
 * @param total the customer's total in tokens
 * @param unreserved tokens that are neither spent nor reserved, as far as known
 * @param instances number of instances that share the total, including this one
 */
public record PrepaidLease(long total, long unreserved, int instances) {
  /**
   * Duration of a partition that should not affect callers; typical ones last seven to nine
   * seconds.
   */
  private static final Duration COVERED_PARTITION = Duration.ofSeconds(9);

  /**
   * Factor for variation: at one request per second, the demand over some seconds varies by about a
   * third.
   */
  private static final double DEMAND_MARGIN = 1.3;

  /**
   * Fractions of the unreserved tokens that all instances together keep at most: the first is
   * shared in proportion to demand, the second evenly. An instance that is killed after seconds
   * without the log loses the tokens it kept; see {@link IdleTokenRelease}.
   */
  private static final double MAX_FRACTION_BY_DEMAND = 0.75;

  private static final double MAX_FRACTION_EVENLY = 0.1;

  /**
   * Fraction of the total that an instance keeps without demand: one request of a customer with
   * little traffic.
   */
  private static final double MIN_FRACTION_OF_TOTAL = 0.02;

  public PrepaidLease {
    Preconditions.requireNotNegative(unreserved, "unreserved tokens");
    Preconditions.requirePositive(instances, "instances");
  }

  /**
   * Returns the number of idle tokens to keep.
   *
   * @param tokensPerSecond rate at which this instance's requests reserve tokens
   * @param fleetTokensPerSecond the same rate of all instances together, including this one
   * @param largest size of the largest recent request at this instance
   */
  public long target(double tokensPerSecond, double fleetTokensPerSecond, long largest) {
    double demand = tokensPerSecond * COVERED_PARTITION.toSeconds() * DEMAND_MARGIN + 2.0 * largest;
    double wanted = Math.max(demand, total * MIN_FRACTION_OF_TOTAL);
    double share =
        fleetTokensPerSecond > 0
            ? Math.min(1, tokensPerSecond / fleetTokensPerSecond)
            : 1.0 / instances;
    double maxOfUnreserved =
        unreserved * (MAX_FRACTION_BY_DEMAND * share + MAX_FRACTION_EVENLY / instances);
    return (long) Math.min(wanted, maxOfUnreserved);
  }
}
