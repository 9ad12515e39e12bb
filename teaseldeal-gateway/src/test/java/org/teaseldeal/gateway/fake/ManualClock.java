package org.teaseldeal.gateway.fake;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that advances only when the test advances it. */
public final class ManualClock implements InstantSource {
  private Instant now = Instant.EPOCH.plusSeconds(1_000_000);

  @Override
  public Instant instant() {
    return now;
  }

  /** Advances the clock by {@code step}. */
  public void advance(Duration step) {
    now = now.plus(step);
  }
}
