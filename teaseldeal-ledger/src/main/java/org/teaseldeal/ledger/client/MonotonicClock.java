package org.teaseldeal.ledger.client;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A clock that never goes back.
 *
 * <p>If the source clock is set back, deadlines computed earlier are too far in the future by the
 * size of the step, and a lost append would be repeated only that much later. This clock continues
 * from its last value instead. A forward step only makes deadlines end early, which at worst
 * repeats a record.
 */
final class MonotonicClock implements InstantSource {
  private final InstantSource source;
  private Duration offset = Duration.ZERO;
  private Instant last = Instant.MIN;

  MonotonicClock(InstantSource source) {
    this.source = source;
  }

  @Override
  public Instant instant() {
    Instant now = source.instant().plus(offset);
    if (now.isBefore(last)) {
      offset = offset.plus(Duration.between(now, last));
      now = last;
    }
    last = now;
    return now;
  }

  /**
   * Converts an instant of this clock to the time that the source clock, as currently set, would
   * have shown.
   */
  Instant toSourceTime(Instant instant) {
    return instant.minus(offset);
  }
}
