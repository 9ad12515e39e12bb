package org.teaseldeal.standin.platform;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;

/** One stream of the log. Offsets count from 0; records are retained by age, count and size. */
final class LogStream {
  private final InstantSource clock;
  private final Duration retention;
  private final int maxRecords;
  private final long maxBytes;
  private final List<StoredRecord> records = new ArrayList<>();
  private int firstRetainedIndex;
  private long retainedBytes;
  private long nextOffset;

  LogStream(InstantSource clock, Duration retention, int maxRecords, long maxBytes) {
    this.clock = clock;
    this.retention = retention;
    this.maxRecords = maxRecords;
    this.maxBytes = maxBytes;
  }

  /** Stores a record and returns its offset. */
  long append(byte[] payload) {
    records.add(new StoredRecord(nextOffset, clock.instant(), payload.clone()));
    retainedBytes += payload.length;
    nextOffset++;
    removeExpired();
    return nextOffset - 1;
  }

  /**
   * Reads records from offset {@code from} on, up to {@code maxRecords} records and {@code
   * maxBytes} bytes of payload; a first record that is larger is returned alone. A read from an
   * offset beyond the end returns no records.
   */
  ReadResult read(long from, int maxRecords, int maxBytes) {
    removeExpired();
    if (from < earliestOffset()) {
      return new ReadResult.Expired(earliestOffset(), nextOffset);
    }
    return new ReadResult.Records(earliestOffset(), nextOffset, slice(from, maxRecords, maxBytes));
  }

  long nextOffset() {
    return nextOffset;
  }

  long earliestOffset() {
    return nextOffset - retainedCount();
  }

  private int retainedCount() {
    return records.size() - firstRetainedIndex;
  }

  private List<StoredRecord> slice(long from, int maxRecords, int maxBytes) {
    List<StoredRecord> slice = new ArrayList<>();
    long bytes = 0;
    for (long offset = from; offset < nextOffset && slice.size() < maxRecords; offset++) {
      StoredRecord record = records.get(firstRetainedIndex + (int) (offset - earliestOffset()));
      bytes += record.payload().length;
      if (bytes > maxBytes && !slice.isEmpty()) {
        break;
      }
      slice.add(record);
    }
    return slice;
  }

  // Without these limits, a long load test would run the platform out of memory long before the
  // records reach the maximum age.
  private boolean exceedsLimits() {
    return retainedCount() > maxRecords || retainedBytes > maxBytes;
  }

  private StoredRecord oldestRecord() {
    return records.get(firstRetainedIndex);
  }

  private void removeExpired() {
    Instant oldest = clock.instant().minus(retention);
    while (retainedCount() > 0
        && (exceedsLimits() || oldestRecord().appendedAt().isBefore(oldest))) {
      retainedBytes -= oldestRecord().payload().length;
      firstRetainedIndex++;
    }
    if (firstRetainedIndex > records.size() / 2) {
      records.subList(0, firstRetainedIndex).clear();
      firstRetainedIndex = 0;
    }
  }
}
