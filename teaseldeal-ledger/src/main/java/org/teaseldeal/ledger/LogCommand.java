package org.teaseldeal.ledger;

/**
 * A log operation that a {@link LedgerClient} requests. The caller carries it out and hands the
 * result back as a {@link LogEvent}.
 */
public sealed interface LogCommand {
  /** Returns the stream that the operation is for. */
  StreamId stream();

  /** Appends {@code payload}. The result carries the same {@code token}. */
  record Append(StreamId stream, long token, byte[] payload) implements LogCommand {}

  /** Reads records from {@code fromOffset} on, and waits a short time if there are none yet. */
  record Read(StreamId stream, long fromOffset) implements LogCommand {}
}
