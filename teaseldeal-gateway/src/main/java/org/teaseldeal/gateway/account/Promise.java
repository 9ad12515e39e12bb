package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import org.teaseldeal.decisions.LeaseRelease;

/**
 * What a note has told of idle tokens.
 *
 * @param at when it was composed
 * @param held with those of running requests
 * @param sealed idle and asked for, to be used no faster than {@link LeaseRelease} says
 * @param promised to requests that wait, at once
 */
record Promise(Instant at, long held, long sealed, long promised) {
  static final Promise NONE = new Promise(Instant.EPOCH, 0, 0, 0);

  /** How many may have been taken by now. */
  long released(Instant now) {
    Duration since = Duration.between(at, now);
    // What requests gave back since may be used too, once a successor gets nothing back anyway.
    return LeaseRelease.untilAll(since).isZero()
        ? Long.MAX_VALUE
        : promised + LeaseRelease.released(sealed, since);
  }

  /** How long until {@code tokens} may have been taken, if no other note is written. */
  Duration untilReleased(long tokens, Instant now) {
    return LeaseRelease.untilReleased(sealed, tokens - promised, Duration.between(at, now));
  }
}
