package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Tracks whether the shared log has been loaded and whether it is available, and since when. */
final class LogAvailability {
  /**
   * Time after its start within which a process normally has loaded the log, provided that the log
   * is available.
   */
  private static final Duration STARTUP_GRACE = Duration.ofSeconds(1);

  /**
   * How long calls to the log must fail before the log counts as unavailable.
   *
   * <p>The answer to a single write can get lost while its repetition is answered a moment later.
   * If that counted as an outage, callers waiting for tokens would be refused with a retry delay of
   * several seconds.
   */
  private static final Duration OUTAGE_AFTER = Duration.ofMillis(550);

  private Instant startedAt;
  private boolean loaded;
  private boolean readingPaused;
  private boolean unavailable;
  private @Nullable Instant failingSince;
  private Instant availableSince = Instant.MIN;

  LogAvailability(Instant startedAt) {
    this.startedAt = startedAt;
  }

  void onLoaded() {
    loaded = true;
  }

  /** Called when this instance stops reading the log, so that the loaded state becomes outdated. */
  void onReadingPaused() {
    loaded = false;
    readingPaused = true;
  }

  /** Called when this instance starts to read the log again, as after a process start. */
  void onReadingResumed(Instant now) {
    readingPaused = false;
    startedAt = now;
  }

  void onReachable(boolean reachable, Instant now) {
    if (reachable) {
      availableSince = unavailable ? now : availableSince;
      failingSince = null;
      unavailable = false;
      return;
    }
    Instant since = failingSince == null ? now : failingSince;
    failingSince = since;
    unavailable = !now.isBefore(since.plus(OUTAGE_AFTER));
  }

  /** Returns whether all notes on the log have been loaded. */
  boolean loaded() {
    return loaded;
  }

  /** Returns whether this instance can currently claim more tokens through the log. */
  boolean acceptsClaims() {
    return loaded && !unavailable;
  }

  /**
   * Returns whether the first load of the accounts is still to be expected soon.
   *
   * <p>A process that has just started accepts callers before it has read how many tokens it may
   * spend. If that counted as an outage, those callers would be refused and would retry only
   * seconds later, although their tokens are available after some tens of milliseconds.
   */
  boolean initialLoadPending(Instant now) {
    return !loaded && (readingPaused || now.isBefore(startedAt.plus(STARTUP_GRACE)));
  }

  /** Returns how long calls to the log have been failing. */
  Duration outageDuration(Instant now) {
    return failingSince == null ? Duration.ZERO : Duration.between(failingSince, now);
  }

  /**
   * Returns the earliest time at which a request that arrived at {@code since} could have been
   * granted its tokens: the arrival, or the end of the last outage if that is later.
   */
  Instant earliestGrant(Instant since) {
    return since.isAfter(availableSince) ? since : availableSince;
  }
}
