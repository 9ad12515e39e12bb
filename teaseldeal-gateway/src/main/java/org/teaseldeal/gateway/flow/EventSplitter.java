package org.teaseldeal.gateway.flow;

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
final class EventSplitter {
  /**
   * A complete event with its original bytes, including the blank line that ends it.
   *
   * @param id the event's id; empty if it has none
   */
  record Event(byte[] bytes, String id) {}

  private static final int ID_FIELD_LENGTH = "id:".length();

  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private String id = "";

  /** Adds received bytes and returns the events that they complete. */
  List<Event> add(byte[] part) {
    List<Event> complete = new ArrayList<>();
    for (byte next : part) {
      event.write(next);
      if (next != '\n') {
        line.write(next);
      } else if (completesEvent()) {
        complete.add(new Event(event.toByteArray(), id));
        event.reset();
        id = "";
      }
    }
    return complete;
  }

  /** The bytes of the last, incomplete event. */
  byte[] remainder() {
    return event.toByteArray();
  }

  /** Processes the end of a line and returns whether it was the blank line that ends an event. */
  private boolean completesEvent() {
    byte[] text = line.toByteArray();
    line.reset();
    int length = text.length > 0 && text[text.length - 1] == '\r' ? text.length - 1 : text.length;
    if (length == 0) {
      return true;
    }
    if (length >= ID_FIELD_LENGTH && text[0] == 'i' && text[1] == 'd' && text[2] == ':') {
      id =
          new String(text, ID_FIELD_LENGTH, length - ID_FIELD_LENGTH, StandardCharsets.UTF_8)
              .strip();
    }
    return false;
  }
}
