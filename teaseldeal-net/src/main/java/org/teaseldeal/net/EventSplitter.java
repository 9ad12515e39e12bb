package org.teaseldeal.net;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
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
   */
  public record Event(byte[] bytes, String id) {}

  private static final String EVENT_STREAM = "text/event-stream";
  private static final int ID_FIELD_LENGTH = "id:".length();

  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private String id = "";
  private long completeEvents;

  /** Whether the last byte was a CR, which ends a line unless an LF follows. */
  private boolean afterCarriageReturn;

  /** Whether the previous line of the event ended with a CR alone. */
  private boolean linesEndWithCarriageReturn;

  /** Returns whether {@code contentType}, the value of an answer's header, names such a stream. */
  public static boolean isEventStream(String contentType) {
    return contentType.regionMatches(true, 0, EVENT_STREAM, 0, EVENT_STREAM.length());
  }

  /** Adds received bytes and returns the events that they complete. */
  public List<Event> add(byte[] part) {
    List<Event> complete = new ArrayList<>();
    for (byte next : part) {
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
      complete.add(new Event(event.toByteArray(), id));
      completeEvents++;
      event.reset();
      id = "";
      linesEndWithCarriageReturn = false;
    } else if (isIdField(text)) {
      id =
          new String(text, ID_FIELD_LENGTH, text.length - ID_FIELD_LENGTH, StandardCharsets.UTF_8)
              .strip();
    }
  }

  private static boolean isIdField(byte[] text) {
    return text.length >= ID_FIELD_LENGTH && text[0] == 'i' && text[1] == 'd' && text[2] == ':';
  }
}
