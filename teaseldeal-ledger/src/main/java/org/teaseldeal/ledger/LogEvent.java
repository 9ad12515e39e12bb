package org.teaseldeal.ledger;

import java.util.List;

/** The result of a {@link LogCommand}. */
public sealed interface LogEvent {
  /** Returns the stream that the result is for. */
  StreamId stream();

  /**
   * The log acknowledged the append. The entries take effect only when the record has been read
   * back and folded.
   */
  record AppendAcknowledged(StreamId stream, long token, long offset) implements LogEvent {}

  /** The append failed or was not answered in time, so the record may or may not be on the log. */
  record AppendFailed(StreamId stream, long token, String detail) implements LogEvent {}

  /**
   * Records in offset order, without gaps, from the requested offset on.
   *
   * @param earliestOffset the earliest offset that the log still keeps
   * @param nextOffset the offset that the next append will get
   */
  record RecordsRead(
      StreamId stream,
      long fromOffset,
      List<LogRecord> records,
      long earliestOffset,
      long nextOffset)
      implements LogEvent {
    public RecordsRead {
      records = List.copyOf(records);
    }
  }

  /** The log no longer keeps the record at the requested offset. */
  record OffsetExpired(StreamId stream, long fromOffset, long earliestOffset, long nextOffset)
      implements LogEvent {}

  /** The read failed. */
  record ReadFailed(StreamId stream, long fromOffset, String detail) implements LogEvent {}
}
