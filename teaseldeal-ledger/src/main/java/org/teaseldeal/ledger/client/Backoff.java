package org.teaseldeal.ledger.client;

import com.dynatrace.hash4j.hashing.Hashing;
import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * An exponential back-off with jitter: the wait doubles after each failure, between {@code min} and
 * {@code max}.
 *
 * <p>A hash of the caller's seed shortens each wait by up to half. Without this jitter, instances
 * that lost the log at the same time would all retry at the same time.
 */
public record Backoff(Duration min, Duration max) {
  private static final int MAX_DOUBLINGS = 20;
  private static final int JITTER_STEPS = 1024;

  public Backoff {
    Preconditions.requirePositive(min.toMillis(), "min backoff");
    Preconditions.require(
        max.compareTo(min) >= 0, "max backoff was %s, expected at least %s".formatted(max, min));
  }

  /** Returns the wait after {@code failures} consecutive failures, counted from 1. */
  public Duration delay(int failures, long seed) {
    int doublings = Math.clamp(failures - 1, 0, MAX_DOUBLINGS);
    long millis = Math.min(max.toMillis(), min.toMillis() << doublings);
    long hash = Hashing.komihash5_0().hashLongLongToLong(seed, failures);
    long jitterMillis = millis / 2 * Math.floorMod(hash, JITTER_STEPS) / JITTER_STEPS;
    return Duration.ofMillis(millis - jitterMillis);
  }
}
