package org.teaseldeal.ledger.client;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Configures how entries are grouped into records. The log limits the appends per second of the
 * whole fleet, so each instance has to append few records.
 *
 * @param flushInterval how long an entry waits for further entries
 * @param minInterval the minimum time between two appends. An urgent entry waits no longer than
 *     this, and the inverse limits this instance's appends per second
 * @param maxBatchBytes bytes of entries in one record; a larger entry gets a record of its own
 * @param timeout how long to wait for an acknowledgement, or for the record to be read back, before
 *     the same record is appended again
 * @param backoff the wait after a failed append
 */
public record AppendConfig(
    Duration flushInterval,
    Duration minInterval,
    int maxBatchBytes,
    Duration timeout,
    Backoff backoff) {
  /** Allows at most 50 appends per second, and 10 without urgent entries. */
  public static final AppendConfig DEFAULT =
      new AppendConfig(
          Duration.ofMillis(100),
          Duration.ofMillis(20),
          128 * 1024,
          Duration.ofSeconds(2),
          new Backoff(Duration.ofMillis(50), Duration.ofSeconds(5)));

  public AppendConfig {
    Preconditions.requireNotNegative(flushInterval.toMillis(), "flush interval");
    Preconditions.requireNotNegative(minInterval.toMillis(), "min append interval");
    Preconditions.requirePositive(maxBatchBytes, "max batch bytes");
    Preconditions.requirePositive(timeout.toMillis(), "append timeout");
  }
}
