package org.teaseldeal.gateway.log;

import java.util.List;
import java.util.function.Consumer;

/**
 * The log through which instances agree; its offsets define the order of everything they write.
 *
 * <p>Each call reports exactly one outcome to its consumer, on the instance's own thread, within a
 * time limit of the implementation.
 */
public interface SharedLog {
  /** The outcome of an append. */
  sealed interface AppendOutcome {
    /** All records are on the log, the first of them at {@code offset}. */
    record Appended(long offset) implements AppendOutcome {}

    /**
     * Nothing was appended: the log expects {@code sequence} as the next sequence number of this
     * writer.
     */
    record OutOfSequence(long sequence) implements AppendOutcome {}

    /** A later incarnation of this writer, with a higher epoch, has replaced this one. */
    record Superseded() implements AppendOutcome {}

    /**
     * The outcome is unknown: the records may be on the log already, or may still be appended
     * later.
     */
    record Unknown(String detail) implements AppendOutcome {}
  }

  /** The outcome of a read. */
  sealed interface ReadOutcome {
    /**
     * The records in order.
     *
     * @param next the offset to read from next
     * @param end the offset after the log's last record; more than {@code next} if a single read
     *     doesn't return all records
     */
    record Records(List<PositionedRecord> records, long next, long end) implements ReadOutcome {
      public Records {
        records = List.copyOf(records);
      }

      /** Creates the outcome of a read that returned all records. */
      public Records(List<PositionedRecord> records, long next) {
        this(records, next, next);
      }
    }

    /** The records at the requested offset are no longer retained. */
    record Expired() implements ReadOutcome {}

    /** The log could not be read. */
    record Failed(String detail) implements ReadOutcome {}
  }

  /**
   * Appends all of {@code records} or none. Repeating the newest sequence number of an epoch adds
   * nothing and has the outcome of the first attempt. An append whose epoch is below one already
   * seen is superseded.
   *
   * @param epoch identifies the incarnation of this writer; rises with each incarnation
   * @param sequence number of the append within the epoch
   */
  void append(
      long epoch, long sequence, List<KeyedRecord> records, Consumer<AppendOutcome> outcome);

  /** Reads the records available from {@code offset} on, without waiting for further ones. */
  void read(long offset, Consumer<ReadOutcome> outcome);

  /**
   * Reads the newest record of each key. {@code next} of the outcome is the log's end when the read
   * began; later records may or may not be included.
   */
  void readNewest(Consumer<ReadOutcome> outcome);
}
