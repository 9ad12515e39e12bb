package org.teaseldeal.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a stream of server-sent events into complete events without changing a byte.
 *
 * <p>A backend server may stop in the middle of an event. Only complete events are sent to the
 * caller, so another server can resume the stream after the last of them.
 */
public final class EventSplitter {
  /**
   * A complete event with its original bytes, including the blank line that ends it.
   *
   * @param id the event's id; empty if it has none
   * @param hasData whether it has data; an event without any is a comment or empty
   */
  public record Event(byte[] bytes, String id, boolean hasData) {}

  private static final String EVENT_STREAM = "text/event-stream";
  private static final byte[] ID_FIELD = {'i', 'd', ':'};
  private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a', ':'};
  private static final int DEFAULT_MAX_EVENT_BYTES = 1 << 20;

  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final int maxEventBytes;
  private String id = "";
  private boolean hasData;
  private long completeEvents;
  private boolean eventTooLarge;

  /** Whether the last byte was a CR, which ends a line unless an LF follows. */
  private boolean afterCarriageReturn;

  /** Whether the previous line of the event ended with a CR alone. */
  private boolean linesEndWithCarriageReturn;

  public EventSplitter() {
    this(DEFAULT_MAX_EVENT_BYTES);
  }

  /** Creates a splitter that accepts no event of more than {@code maxEventBytes}. */
  public EventSplitter(int maxEventBytes) {
    this.maxEventBytes = maxEventBytes;
  }

  /** Returns whether {@code contentType}, the value of an answer's header, names such a stream. */
  public static boolean isEventStream(String contentType) {
    return contentType.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
  }

  /** Adds received bytes and returns the events that they complete. */
  public List<Event> add(byte[] part) {
    List<Event> complete = new ArrayList<>();
    for (byte next : part) {
      if (event.size() >= maxEventBytes) {
        eventTooLarge = true;
        return complete;
      }
      if (afterCarriageReturn && next != '\n') {
        linesEndWithCarriageReturn = true;
        endLine(complete);
      }
      event.write(next);
      switch (next) {
        case '\n' -> {
          linesEndWithCarriageReturn = false;
          endLine(complete);
        }
        case '\r' -> onCarriageReturn(complete);
        default -> line.write(next);
      }
    }
    return complete;
  }

  /** Whether an event exceeded the maximum size; the bytes from there on are ignored. */
  public boolean isEventTooLarge() {
    return eventTooLarge;
  }

  /** The number of bytes after the last complete event: those of an event that is incomplete. */
  public int incompleteBytes() {
    return event.size();
  }

  /** The number of complete events so far. */
  public long completeEvents() {
    return completeEvents;
  }

  /**
   * Returns whether a stream that has ended here was broken off, although its framing may say that
   * it is complete: it ended inside an event, or nothing but the end of its connection says that it
   * has no events.
   *
   * <p>A server that crashes may close its connection in order, and a stream without a length or
   * chunks then ends like a complete one.
   */
  public boolean isBrokenOff(AnswerEnd end) {
    return event.size() > 0 || (completeEvents == 0 && !end.isMarkedByFraming());
  }

  /**
   * Waits for the next byte, as the CR may be the first half of a CRLF. It is not if the stream's
   * lines end with a CR alone: waiting would delay the event until the next one.
   */
  private void onCarriageReturn(List<Event> complete) {
    if (linesEndWithCarriageReturn && line.size() == 0) {
      endLine(complete);
    } else {
      afterCarriageReturn = true;
    }
  }

  /** Processes the end of a line; a blank line ends the event. */
  private void endLine(List<Event> complete) {
    afterCarriageReturn = false;
    byte[] text = line.toByteArray();
    line.reset();
    if (text.length == 0) {
      complete.add(new Event(event.toByteArray(), id, hasData));
      completeEvents++;
      event.reset();
      id = "";
      hasData = false;
      linesEndWithCarriageReturn = false;
    } else if (startsWith(text, ID_FIELD)) {
      id =
          new String(text, ID_FIELD.length, text.length - ID_FIELD.length, StandardCharsets.UTF_8)
              .strip();
    } else if (startsWith(text, DATA_FIELD)) {
      hasData = true;
    }
  }

  private static boolean startsWith(byte[] text, byte[] field) {
    return text.length >= field.length
        && Arrays.equals(text, 0, field.length, field, 0, field.length);
  }
}
