package org.teaseldeal.gateway.flow;

import org.teaseldeal.net.EventSplitter;

/**
 * Limits on the bytes that a backend server sends as one answer, and the distinction of bytes that
 * bring the answer forward from those that don't.
 *
 * <p>A faulty server may send bytes that are no answer until its caller closes: a line or an event
 * that never ends, events that repeat, single bytes. Without limits they would fill the memory, and
 * a server that sends them would not count as silent.
 */
final class AnswerLimits {
  /** The maximum size of an event; those of inference engines have some hundred bytes. */
  static final int MAX_EVENT_BYTES = 64 << 10;

  private static final int MAX_STREAM_BYTES = 8 << 20;

  /** The maximum size of an answer that is collected before it is sent. */
  private static final int MAX_BODY_BYTES = 2 << 20;

  /** Each part costs time, however small it is. */
  private static final int MAX_BODY_PARTS = 20_000;

  /** Events that are empty or repeat may not exceed this size together. */
  private static final int MAX_BYTES_WITHOUT_PROGRESS = 64 << 10;

  /**
   * The same limit as a number of successive events, as each costs time. Servers send an event
   * without content now and then to keep a connection open.
   */
  private static final int MAX_EVENTS_WITHOUT_PROGRESS = 64;

  /** Ids of more digits are compared as text. */
  private static final int MAX_ID_DIGITS = 18;

  private static final long NO_NUMBER = -1;

  /** A body without events counts as having progressed each time that this much has arrived. */
  private static final int PROGRESS_BYTES = 16 << 10;

  private long bytes;
  private int bodyParts;
  private long bytesAtProgress;
  private int eventsWithoutProgress;
  private String lastId = "";
  private long highestId = NO_NUMBER;

  /** Counts a part of a body without events; returns whether it is progress. */
  boolean onBodyBytes(int count) {
    bytes += count;
    bodyParts++;
    return markProgressIf(bytes - bytesAtProgress >= PROGRESS_BYTES);
  }

  /** Counts an event; returns whether it is progress. */
  boolean onEvent(EventSplitter.Event event) {
    bytes += event.bytes().length;
    boolean progressed = event.id().isEmpty() ? event.hasData() : advances(event.id());
    eventsWithoutProgress = progressed ? 0 : eventsWithoutProgress + 1;
    return markProgressIf(progressed);
  }

  /** Whether an id is higher than all before; one that is no number must differ from the last. */
  private boolean advances(String id) {
    boolean repeated = id.equals(lastId);
    lastId = id;
    long number = toNumber(id);
    if (number == NO_NUMBER) {
      return !repeated;
    }
    boolean higher = number > highestId;
    highestId = Math.max(highestId, number);
    return higher;
  }

  private static long toNumber(String id) {
    if (id.length() > MAX_ID_DIGITS) {
      return NO_NUMBER;
    }
    long number = 0;
    for (int i = 0; i < id.length(); i++) {
      char digit = id.charAt(i);
      if (digit < '0' || digit > '9') {
        return NO_NUMBER;
      }
      number = 10 * number + digit - '0';
    }
    return number;
  }

  private boolean markProgressIf(boolean progressed) {
    if (progressed) {
      bytesAtProgress = bytes;
    }
    return progressed;
  }

  /** Returns whether a body without events has exceeded its limits. */
  boolean isBodyTooLarge() {
    return bytes > MAX_BODY_BYTES || bodyParts > MAX_BODY_PARTS;
  }

  /** Returns whether a stream has exceeded its limits or brings nothing new. */
  boolean isStreamTooLarge() {
    return bytes > MAX_STREAM_BYTES
        || bytes - bytesAtProgress > MAX_BYTES_WITHOUT_PROGRESS
        || eventsWithoutProgress > MAX_EVENTS_WITHOUT_PROGRESS;
  }
}
