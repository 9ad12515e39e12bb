package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import org.teaseldeal.decisions.IdleTokenRelease;

/**
 * What one note has published about the use of this instance's idle tokens.
 *
 * @param composedAt when the note was composed
 * @param held tokens held, including those reserved for running requests
 * @param immediate tokens, idle or claimed, that may be used immediately
 * @param delayedRelease the remaining tokens, which may be used no faster than {@link
 *     IdleTokenRelease} allows
 */
record PublishedRelease(
    Instant composedAt, long held, long immediate, IdleTokenRelease delayedRelease) {
  static final PublishedRelease NONE =
      new PublishedRelease(Instant.EPOCH, 0, 0, new IdleTokenRelease(0, 0));

  /** Returns how many tokens may be taken until {@code now}. */
  long released(Instant now) {
    Duration since = Duration.between(composedAt, now);
    // Once everything is released, a successor reclaims nothing, so tokens that requests have
    // returned since the note may be used as well.
    return IdleTokenRelease.untilAll(since).isZero()
        ? Long.MAX_VALUE
        : immediate + delayedRelease.released(since);
  }

  /** Returns how long it takes until {@code tokens} may be taken if no further note is written. */
  Duration untilReleased(long tokens, Instant now) {
    return delayedRelease.untilReleased(tokens - immediate, Duration.between(composedAt, now));
  }
}
