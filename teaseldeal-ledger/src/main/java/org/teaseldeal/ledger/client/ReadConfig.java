package org.teaseldeal.ledger.client;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Configures how the log is read.
 *
 * @param timeout how long to wait for an answer before reading again; it must be longer than the
 *     log itself waits for a new record
 * @param backoff the wait after a failed read
 * @param unreachableAfter how long the log may leave reads unanswered, or an appended record may
 *     take to be read back, before the log counts as unreachable
 */
public record ReadConfig(Duration timeout, Backoff backoff, Duration unreachableAfter) {
  /** The default, for a log that waits up to a second for a new record. */
  public static final ReadConfig DEFAULT =
      new ReadConfig(
          Duration.ofSeconds(3),
          new Backoff(Duration.ofMillis(50), Duration.ofSeconds(2)),
          Duration.ofSeconds(4));

  public ReadConfig {
    Preconditions.requirePositive(timeout.toMillis(), "read timeout");
    Preconditions.requirePositive(unreachableAfter.toMillis(), "unreachable after");
  }
}
