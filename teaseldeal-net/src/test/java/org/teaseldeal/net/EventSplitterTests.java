package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventSplitterTests {
  private final EventSplitter splitter = new EventSplitter();

  @Test
  void splitsEventsIndependentlyOfChunkBoundaries() {
    String text = "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\nid: 2\nda";
    for (int size = 1; size < text.length(); size++) {
      EventSplitter each = new EventSplitter();
      List<String> events = new ArrayList<>();
      List<String> ids = new ArrayList<>();
      for (int start = 0; start < text.length(); start += size) {
        String part = text.substring(start, Math.min(text.length(), start + size));
        for (EventSplitter.Event event : each.add(bytes(part))) {
          events.add(new String(event.bytes(), StandardCharsets.UTF_8));
          ids.add(event.id());
        }
      }
      assertEquals(List.of("id: 0\ndata: a\n\n", "id: 1\r\ndata: b\r\n\r\n"), events);
      assertEquals(List.of("0", "1"), ids);
      assertEquals("id: 2\nda".length(), each.incompleteBytes());
    }
  }

  @Test
  void doesNotCarryAnIdOverToAnEventWithoutOne() {
    assertEquals("", splitter.add(bytes("id: 7\n\ndata: x\n\n")).getLast().id());
  }

  /** A CR alone ends a line too. A CRLF must not be taken for two ends of lines. */
  @Test
  void recognisesEachKindOfLineEnd() {
    for (String lineEnd : List.of("\n", "\r\n", "\r")) {
      String event = "id: 3" + lineEnd + "data: x" + lineEnd + lineEnd;
      for (int length = 0; length < 2 * event.length(); length++) {
        EventSplitter each = new EventSplitter();
        List<EventSplitter.Event> events = new ArrayList<>();
        for (byte next : bytes((event + event).substring(0, length))) {
          events.addAll(each.add(new byte[] {next}));
        }
        assertEquals(length / event.length(), events.size());
        assertEquals(length % event.length(), each.incompleteBytes());
        events.forEach(
            complete -> {
              assertEquals(event, new String(complete.bytes(), StandardCharsets.UTF_8));
              assertEquals("3", complete.id());
            });
      }
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
