package org.teaseldeal.settings;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * How token budgets are divided into leases of the instances.
 *
 * @param horizon how long a lease should last at the current rate of spending; at least as long as
 *     the outages of the log that should have no effect on requests
 * @param maxShare the largest share of a budget's remaining tokens that one lease may take, in (0,
 *     1]
 * @param minimumTokens the size of the smallest lease that justifies a record in the log
 * @param idleReturn how long a lease may stay unused before its tokens are returned
 */
public record LeasePolicySettings(
    Duration horizon, double maxShare, long minimumTokens, Duration idleReturn) {
  public LeasePolicySettings {
    Preconditions.requirePositive(horizon.toMillis(), "lease.horizon");
    Preconditions.require(
        maxShare > 0 && maxShare <= 1,
        "lease.max_share was %s, expected more than 0 and at most 1".formatted(maxShare));
    Preconditions.requirePositive(minimumTokens, "lease.minimum_tokens");
    Preconditions.requirePositive(idleReturn.toMillis(), "lease.idle_return");
  }
}
