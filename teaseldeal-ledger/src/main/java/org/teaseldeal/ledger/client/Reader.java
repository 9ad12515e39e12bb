package org.teaseldeal.ledger.client;

import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.StreamId;

/** Keeps one read in flight, from the position that the client passes to {@link #poll}. */
final class Reader {
  private static final long NONE = -1;

  private final StreamId stream;
  private final ReadConfig config;
  private final long seed;
  private long outstandingFrom = NONE;
  private Instant timeoutAt = Instant.MIN;
  private Instant nextReadAt = Instant.MIN;
  private int consecutiveFailures;
  private long reads;
  private long failures;

  Reader(StreamId stream, ReadConfig config, long seed) {
    this.stream = stream;
    this.config = config;
    this.seed = seed;
  }

  Optional<LogCommand> poll(long position, Instant now) {
    if (outstandingFrom == position && now.isBefore(timeoutAt)) {
      return Optional.empty();
    }
    if (outstandingFrom == position) {
      failures++;
    }
    if (now.isBefore(nextReadAt)) {
      return Optional.empty();
    }
    outstandingFrom = position;
    timeoutAt = now.plus(config.timeout());
    reads++;
    return Optional.of(new LogCommand.Read(stream, position));
  }

  void onAnswered(long from) {
    consecutiveFailures = 0;
    clearOutstanding(from);
  }

  void onFailed(long from, Instant now) {
    failures++;
    backOff(now);
    clearOutstanding(from);
  }

  /** Delays the next read by the back-off. */
  void backOff(Instant now) {
    consecutiveFailures++;
    nextReadAt = now.plus(config.backoff().delay(consecutiveFailures, seed));
  }

  private void clearOutstanding(long from) {
    if (outstandingFrom == from) {
      outstandingFrom = NONE;
    }
  }

  long reads() {
    return reads;
  }

  long failures() {
    return failures;
  }
}
