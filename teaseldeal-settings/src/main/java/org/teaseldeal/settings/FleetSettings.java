package org.teaseldeal.settings;

import java.time.Duration;
import java.util.Map;
import org.teaseldeal.api.Preconditions;

/**
 * Settings of the fleet's subtree, which apply to all teams.
 *
 * @param pools the pools of backend servers, by name
 * @param lease how token budgets are divided into leases
 * @param progressTimeout how long a stream may send no frame before it counts as silent
 * @param defaultTimeout the deadline of a request that names none
 * @param maxRetryShare the largest share of attempts that may be retries, in [0, 1]
 * @param claimWindow how long the outcome of a claim is kept for requests that repeat its key
 * @param keyRetention how long the key of a claim is remembered, including the time after its
 *     outcome was dropped
 */
public record FleetSettings(
    Map<String, PoolSettings> pools,
    LeasePolicySettings lease,
    Duration progressTimeout,
    Duration defaultTimeout,
    double maxRetryShare,
    Duration claimWindow,
    Duration keyRetention) {
  public FleetSettings {
    pools = Map.copyOf(pools);
    Preconditions.requirePositive(progressTimeout.toMillis(), "requests.progress_timeout");
    Preconditions.requirePositive(defaultTimeout.toMillis(), "requests.default_timeout");
    Preconditions.require(
        maxRetryShare >= 0 && maxRetryShare <= 1,
        "requests.max_retry_share was %s, expected 0 to 1".formatted(maxRetryShare));
    Preconditions.requirePositive(claimWindow.toMillis(), "claims.window");
    Preconditions.require(
        keyRetention.compareTo(claimWindow) >= 0,
        "claims.key_memory was %s, expected at least claims.window, %s"
            .formatted(keyRetention, claimWindow));
  }
}
