package org.teaseldeal.gateway.flow;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of server-sent events into whole events, byte for byte.
 *
 * <p>A backend server may stop in the middle of an event. Only whole events go to the caller, so
 * that what another server sends after the last of them joins without a seam.
 */
final class EventSplitter {
  /**
   * A whole event as it came, up to and including its blank line.
   *
   * @param id the event's id; empty if it has none
   */
  record Event(byte[] bytes, String id) {}

  private static final int ID_FIELD_LENGTH = "id:".length();

  private final ByteArrayOutputStream event = new ByteArrayOutputStream();
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private String id = "";

  /** Takes in more bytes; returns the events that they complete. */
  List<Event> add(byte[] part) {
    List<Event> whole = new ArrayList<>();
    for (byte next : part) {
      event.write(next);
      if (next != '\n') {
        line.write(next);
      } else if (endsLine()) {
        whole.add(new Event(event.toByteArray(), id));
        event.reset();
        id = "";
      }
    }
    return whole;
  }

  /** Bytes of an event that isn't whole. */
  byte[] rest() {
    return event.toByteArray();
  }

  /** Ends a line; true if it was the blank line that ends an event. */
  private boolean endsLine() {
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
