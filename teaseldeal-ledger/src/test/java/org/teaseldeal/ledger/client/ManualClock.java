package org.teaseldeal.ledger.client;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/** A clock that tests advance by hand. */
final class ManualClock implements InstantSource {
  private Instant now = Instant.parse("2026-12-02T08:00:00Z");

  void advance(Duration duration) {
    now = now.plus(duration);
  }

  @Override
  public Instant instant() {
    return now;
  }
}
