package org.teaseldeal.ledger.fold;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Configures how long keys are kept, in log time, until the fleet's settings define these
 * durations.
 *
 * <p>All readers of a stream must use the same values, or their states would differ.
 *
 * @param claimWindow how long a claim and its answer are kept
 * @param keyRetention how long the keys of claims and charges, the ids of budget operations, and
 *     ended writers are remembered
 */
public record KeyRetention(Duration claimWindow, Duration keyRetention) {
  /** Keeps answers for an hour and keys for a week. */
  public static final KeyRetention DEFAULT =
      new KeyRetention(Duration.ofHours(1), Duration.ofDays(7));

  public KeyRetention {
    Preconditions.requirePositive(claimWindow.toMillis(), "claim window");
    Preconditions.require(
        keyRetention.compareTo(claimWindow) >= 0,
        "key retention was %s, expected at least the claim window, %s"
            .formatted(keyRetention, claimWindow));
  }
}
