package org.teaseldeal.standin.platform;

import java.util.List;

/** The result of reading a stream. */
sealed interface ReadResult {
  /**
   * Returns the earliest offset that is retained; equal to {@link #nextOffset} if there is none.
   */
  long earliestOffset();

  /** Returns the offset that the next record will get. */
  long nextOffset();

  /** The records from the requested offset on; empty if there are none yet. */
  record Records(long earliestOffset, long nextOffset, List<StoredRecord> records)
      implements ReadResult {
    public Records {
      records = List.copyOf(records);
    }
  }

  /** The record at the requested offset is no longer retained. */
  record Expired(long earliestOffset, long nextOffset) implements ReadResult {}
}
