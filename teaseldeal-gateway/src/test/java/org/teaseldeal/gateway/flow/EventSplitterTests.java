package org.teaseldeal.gateway.flow;

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
      assertEquals("id: 2\nda", new String(each.remainder(), StandardCharsets.UTF_8));
    }
  }

  @Test
  void doesNotCarryAnIdOverToAnEventWithoutOne() {
    assertEquals("", splitter.add(bytes("id: 7\n\ndata: x\n\n")).getLast().id());
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
