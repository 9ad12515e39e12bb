package org.teaseldeal.gateway.fake;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that only moves when told. */
public final class ManualClock implements InstantSource {
  private Instant now = Instant.EPOCH.plusSeconds(1_000_000);

  @Override
  public Instant instant() {
    return now;
  }

  /** Moves on by {@code step}. */
  public void advance(Duration step) {
    now = now.plus(step);
  }
}
