package org.teaseldeal.standin.runtime;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import org.teaseldeal.api.Preconditions;

/** A token bucket: a rate limit that allows short bursts. */
public final class TokenBucket {
  private static final double NANOS_PER_SECOND = 1e9;

  private final InstantSource clock;
  private final double tokensPerSecond;
  private final double burst;
  private double tokens;
  private Instant refilledAt;

  /** Creates a full bucket. */
  public TokenBucket(InstantSource clock, double tokensPerSecond, double burst) {
    Preconditions.require(
        tokensPerSecond > 0,
        "tokens per second were %s, expected above 0".formatted(tokensPerSecond));
    Preconditions.require(burst >= 1, "burst was %s, expected 1 or more".formatted(burst));
    this.clock = clock;
    this.tokensPerSecond = tokensPerSecond;
    this.burst = burst;
    this.tokens = burst;
    this.refilledAt = clock.instant();
  }

  /** Takes {@code amount} tokens and returns true, or takes none if there are fewer. */
  public boolean tryTake(double amount) {
    refill();
    if (tokens < amount) {
      return false;
    }
    tokens -= amount;
    return true;
  }

  /** Returns the time until {@code amount} tokens are available if none is taken meanwhile. */
  public Duration timeUntilAvailable(double amount) {
    refill();
    double missing = Math.max(0, amount - tokens);
    return Duration.ofNanos((long) Math.ceil(missing / tokensPerSecond * NANOS_PER_SECOND));
  }

  private void refill() {
    Instant now = clock.instant();
    double elapsed = Duration.between(refilledAt, now).toNanos() / NANOS_PER_SECOND;
    if (elapsed <= 0) {
      return;
    }
    tokens = Math.min(burst, tokens + elapsed * tokensPerSecond);
    refilledAt = now;
  }
}
