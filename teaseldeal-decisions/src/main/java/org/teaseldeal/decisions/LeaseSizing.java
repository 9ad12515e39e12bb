package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * Computes how many tokens an instance requests for its lease.
 *
 * <p>A lease that is too small is used up in an outage of the log, and requests are refused
 * although the budget has tokens. A lease that is too large withholds the last tokens of a budget
 * from other instances, and more tokens become unusable when its holder crashes. Therefore a lease
 * covers the consumption within the horizon, which is the longest outage that should not affect
 * callers, and the limit to a share of the remaining tokens keeps one instance from taking all of
 * them.
 */
public final class LeaseSizing {
  private final Duration horizon;
  private final double maxShare;
  private final long minimum;

  public LeaseSizing(Duration horizon, double maxShare, long minimum) {
    this.horizon = horizon;
    this.maxShare = maxShare;
    this.minimum = minimum;
  }

  /**
   * Returns the number of tokens to request.
   *
   * @param tokensPerSecond present rate of consumption at this instance
   * @param needed tokens that a waiting request needs at least
   * @param held unreserved tokens that this instance already has
   * @param remaining tokens that the ledger shows as not leased
   */
  public long tokensToRequest(double tokensPerSecond, long needed, long held, long remaining) {
    long target = Math.max(minimum, (long) (tokensPerSecond * horizon.toMillis() / 1000.0));
    long capped = Math.min(target, (long) (remaining * maxShare));
    return Math.max(Math.max(capped, needed) - held, 0);
  }
}
