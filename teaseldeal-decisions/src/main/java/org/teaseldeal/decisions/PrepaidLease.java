package org.teaseldeal.decisions;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * How many idle tokens of a prepaid total an instance keeps for the time that it can't ask for
 * more.
 *
 * <p>Load pattern: steady spending while an instance is cut off from the log for seconds, all
 * instances at once. Whatever isn't at hand then is refused although the total covers it. So an
 * instance keeps what it is likely to need over the longest usual cut, and two of its largest
 * requests besides: a light customer's next request is larger than its mean demand.
 *
 * <p>Load pattern: a balancer that gives instances uneven shares, and customers who keep to a few
 * of them. With even parts, some instances refuse in a cut while others hold tokens that nobody
 * asks them for. So what is left is shared by demand, as the instances tell it each other.
 *
 * <p>A part of what is at hand when an instance is killed is lost, as nobody can tell whether it
 * was spent. So some of what is left stays with nobody, for those that need it first, and one that
 * has had no request of a customer keeps little of it.
 *
 * @param pool tokens that are neither spent nor given to requests, as far as is known
 * @param instances that share the pool, this one included
 */
public record PrepaidLease(long total, long pool, int instances) {
  /** The cut that should go unnoticed; those seen last seven to nine seconds. */
  private static final Duration HORIZON = Duration.ofSeconds(9);

  /** Demand over some seconds varies by about a third at one request a second. */
  private static final double MARGIN = 1.3;

  /**
   * The parts of the pool that instances keep at most, by their demand and evenly. An instance that
   * is killed after seconds without the log loses what it kept, see {@link LeaseRelease}.
   */
  private static final double KEPT_BY_DEMAND = 0.75;

  private static final double KEPT_EVENLY = 0.1;

  /** What an instance keeps without demand: one request of a light customer. */
  private static final double FLOOR_SHARE = 0.02;

  public PrepaidLease {
    Preconditions.requireNotNegative(pool, "pool");
    Preconditions.requirePositive(instances, "instances");
  }

  /**
   * The idle tokens to keep.
   *
   * @param tokensPerSecond that this instance's requests set aside
   * @param ofAll the same of all instances together, this one included
   * @param largest of its recent requests
   */
  public long target(double tokensPerSecond, double ofAll, long largest) {
    double demand = tokensPerSecond * HORIZON.toSeconds() * MARGIN + 2.0 * largest;
    double wanted = Math.max(demand, total * FLOOR_SHARE);
    double share = ofAll > 0 ? Math.min(1, tokensPerSecond / ofAll) : 1.0 / instances;
    double most = pool * (KEPT_BY_DEMAND * share + KEPT_EVENLY / instances);
    return (long) Math.min(wanted, most);
  }
}
