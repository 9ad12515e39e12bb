package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.teaseldeal.net.EventSplitter;

class AnswerLimitsTests {
  private static final int MANY = 100;

  private final AnswerLimits limits = new AnswerLimits();

  private static EventSplitter.Event event(String id, String data) {
    String text = (id.isEmpty() ? "" : "id: " + id + "\n") + data + "\n";
    return new EventSplitter.Event(
        text.getBytes(StandardCharsets.UTF_8), id, data.startsWith("data:"));
  }

  /** A server sends the same empty event without end; each costs the event loop time. */
  @Test
  void fewEmptyEventsOfOneIdAreAccepted() {
    assertTrue(limits.onEvent(event("1", "")));
    for (int i = 0; i < MANY; i++) {
      assertFalse(limits.onEvent(event("1", "")));
    }
    assertTrue(limits.isStreamTooLarge());
  }

  /** A server repeats its last events without end, so that no two neighbours are alike. */
  @Test
  void idsThatGoBackBringAnAnswerNoFurther() {
    assertTrue(limits.onEvent(event("9", "data: a\n")));
    assertTrue(limits.onEvent(event("10", "data: b\n")));
    for (int i = 0; i < MANY; i++) {
      assertFalse(limits.onEvent(event(i % 2 == 0 ? "9" : "10", "data: a\n")));
    }
    assertTrue(limits.isStreamTooLarge());
  }

  @Test
  void acceptsLongStreamsWithCommentsBetween() {
    int progressed = 0;
    for (int i = 0; i < 50 * MANY; i++) {
      progressed += limits.onEvent(event(Integer.toString(i), "data: a\n")) ? 1 : 0;
      assertFalse(limits.onEvent(event("", ": alive\n")));
    }
    assertEquals(50 * MANY, progressed);
    assertFalse(limits.isStreamTooLarge());
  }

  @Test
  void acceptsIdsThatAreNoNumbers() {
    assertTrue(limits.onEvent(event("b", "data: a\n")));
    assertTrue(limits.onEvent(event("a", "data: a\n")));
    assertFalse(limits.onEvent(event("a", "data: a\n")));
    assertTrue(limits.onEvent(event("12345678901234567890", "data: a\n")));
  }
}
