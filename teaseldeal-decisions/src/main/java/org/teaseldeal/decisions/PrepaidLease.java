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
 * <p>What is at hand when an instance is killed is lost, as nobody can tell whether it was spent.
 * So all instances together keep at most a part of what is left, and one that has had no request of
 * a customer keeps little of it.
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
   * The part of the pool that all instances together keep at most. A kill of all loses three tenths
   * of it, see {@link LeaseRelease}; the last third stays for the instance that needs it first.
   */
  private static final double KEPT_SHARE = 0.65;

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
   * @param largest of its recent requests
   */
  public long target(double tokensPerSecond, long largest) {
    double demand = tokensPerSecond * HORIZON.toSeconds() * MARGIN + 2.0 * largest;
    double wanted = Math.max(demand, total * FLOOR_SHARE);
    return (long) Math.min(wanted, pool * KEPT_SHARE / instances);
  }
}
