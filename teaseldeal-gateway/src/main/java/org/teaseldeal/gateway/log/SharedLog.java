package org.teaseldeal.gateway.log;

import java.util.List;
import java.util.function.Consumer;

/**
 * The log through which instances agree; its offsets are the order of all they write.
 *
 * <p>Each call tells its consumer exactly one outcome, on the instance's own thread, within a time
 * that the implementation bounds.
 */
public interface SharedLog {
  /** What became of an append. */
  sealed interface AppendOutcome {
    /** All records are on the log, the first at {@code offset}. */
    record Appended(long offset) implements AppendOutcome {}

    /** Nothing was appended: the log expects {@code sequence} next of this writer. */
    record OutOfSequence(long sequence) implements AppendOutcome {}

    /** A later incarnation of this writer has taken its place. */
    record Superseded() implements AppendOutcome {}

    /** Nothing is known: the records may be on the log, or may yet come to be. */
    record Unknown(String detail) implements AppendOutcome {}
  }

  /** What became of a read. */
  sealed interface ReadOutcome {
    /** Records in order; the next one to read is at {@code next}. */
    record Records(List<PositionedRecord> records, long next) implements ReadOutcome {
      public Records {
        records = List.copyOf(records);
      }
    }

    /** The records from there on are not kept any more. */
    record Expired() implements ReadOutcome {}

    /** The log could not be read. */
    record Failed(String detail) implements ReadOutcome {}
  }

  /**
   * Appends all of {@code records} or none. A repeat of the newest sequence number of an epoch adds
   * nothing and has the outcome of the first; an epoch below one already seen is superseded.
   *
   * @param epoch names the incarnation of this writer; rises with each
   */
  void append(
      long epoch, long sequence, List<KeyedRecord> records, Consumer<AppendOutcome> outcome);

  /** Reads what there is from {@code offset} on, without waiting. */
  void read(long offset, Consumer<ReadOutcome> outcome);

  /**
   * Reads the newest record of each key. {@code next} of the outcome is the log's end when the read
   * began; records after it may or may not be among those read.
   */
  void readNewest(Consumer<ReadOutcome> outcome);
}
