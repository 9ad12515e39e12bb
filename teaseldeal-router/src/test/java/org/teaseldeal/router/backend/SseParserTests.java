package org.teaseldeal.router.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class SseParserTests {
  private static final String TEXT =
      ": comment\nevent: x\ndata: one\n\ndata:two\r\ndata: lines\r\n\r\nid: 3\n\ndata: æ\r\r";

  private final List<String> events = new ArrayList<>();
  private final SseParser parser =
      new SseParser(64, data -> events.add(new String(data, StandardCharsets.UTF_8)));

  @Test
  void readsEventsSplitAtAnyPosition() {
    byte[] text = TEXT.getBytes(StandardCharsets.UTF_8);
    for (int first = 0; first <= text.length; first++) {
      for (int second = first; second <= text.length; second++) {
        events.clear();
        SseParser fresh =
            new SseParser(64, data -> events.add(new String(data, StandardCharsets.UTF_8)));
        fresh.feed(Arrays.copyOfRange(text, 0, first));
        fresh.feed(Arrays.copyOfRange(text, first, second));
        fresh.feed(Arrays.copyOfRange(text, second, text.length));
        assertEquals(List.of("one", "two\nlines", "æ"), events);
      }
    }
  }

  @Test
  void ignoresAnEventWithoutItsEnd() {
    parser.feed("data: cut".getBytes(StandardCharsets.UTF_8));
    assertEquals(List.of(), events);
  }

  @Test
  void refusesAnEventBeyondTheSizeLimit() {
    byte[] large = ("data: " + "x".repeat(64)).getBytes(StandardCharsets.UTF_8);
    assertThrows(IllegalArgumentException.class, () -> parser.feed(large));
  }
}
