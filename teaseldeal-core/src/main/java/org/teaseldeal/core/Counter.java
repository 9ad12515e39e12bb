package org.teaseldeal.core;

import java.util.Locale;

/** What an instance counts, refusals apart, which are counted by error kind. */
public enum Counter {
  CALLS,
  ANSWERS,
  REFUSALS,
  BROKEN_STREAMS,
  CALLERS_GONE,
  ATTEMPTS,
  RETRIES,
  RESUMES,
  FRAMES,
  DROPPED_FRAMES,
  DROPPED_ATTEMPT_EVENTS,
  APPENDS,
  APPEND_REPEATS,
  APPENDED_BYTES,
  APPEND_FAILURES,
  READ_FAILURES,
  LEASE_REQUESTS,
  DRAWS_ASKED,
  DRAWS_GIVEN,
  DRAWS_RECEIVED,
  REPEATED_DRAWS,
  CHARGES,
  CHARGED_TOKENS,
  CHARGES_UNCONFIRMED,
  CHARGE_REPEATS,
  WRITTEN_OFF_TOKENS,
  USAGE_OVER_RESERVATION,
  BACKUPS_KEPT,
  BACKUPS_APPENDED,
  CLAIMS,
  CLAIMS_RELEASED,
  QUARANTINES,
  HEARTBEATS_SENT,
  HEARTBEATS_RECEIVED,
  UNKNOWN_PEER_MESSAGES,
  STATE_CHUNKS_SENT,
  STATES_RESTORED;

  /** The name in metrics: lower case with underscores. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
