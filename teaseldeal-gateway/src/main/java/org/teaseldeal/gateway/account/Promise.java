package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import org.teaseldeal.decisions.LeaseRelease;

/**
 * What a note has told of idle tokens.
 *
 * @param at when it was composed
 * @param held with those of running requests
 * @param atOnce idle and asked for, to be used at once
 * @param rest to be used no faster than {@link LeaseRelease} says
 */
record Promise(Instant at, long held, long atOnce, LeaseRelease rest) {
  static final Promise NONE = new Promise(Instant.EPOCH, 0, 0, new LeaseRelease(0, 0));

  /** How many may have been taken by now. */
  long released(Instant now) {
    Duration since = Duration.between(at, now);
    // What requests gave back since may be used too, once a successor gets nothing back anyway.
    return LeaseRelease.untilAll(since).isZero() ? Long.MAX_VALUE : atOnce + rest.released(since);
  }

  /** How long until {@code tokens} may have been taken, if no other note is written. */
  Duration untilReleased(long tokens, Instant now) {
    return rest.untilReleased(tokens - atOnce, Duration.between(at, now));
  }
}
