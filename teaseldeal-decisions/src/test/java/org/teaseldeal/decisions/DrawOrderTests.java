package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DrawOrderTests {
  private final Random random = new Random(5);

  /**
   * Callers of many instances get their tokens as a cut begins. Eight instances lack tokens of one
   * customer in the same moment, and two have much and six some; those asked first differ.
   */
  @Test
  void spreadsThoseThatAskAtOnce() {
    Map<String, Long> idle = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      idle.put("instance-" + i, i < 2 ? 30_000L : 10_000L);
    }
    Map<String, Integer> firsts = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      firsts.merge(DrawOrder.of(idle, random).getFirst(), 1, Integer::sum);
    }
    int most = firsts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertTrue(most < 400, "one was asked first %d of 800 times, expected less".formatted(most));
    assertTrue(
        firsts.getOrDefault("instance-0", 0) > firsts.getOrDefault("instance-5", 0),
        "one with much was not asked first more often than one with some");
  }

  @Test
  void leavesOutThoseWithoutAny() {
    assertEquals(List.of("b"), DrawOrder.of(Map.of("a", 0L, "b", 5L), random));
  }

  /** A request waits for a few instances at most, also in a fleet of hundreds. */
  @Test
  void asksAFewOfALargeFleet() {
    Map<String, Long> idle = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      idle.put("instance-" + i, 1_000L);
    }
    assertEquals(8, DrawOrder.of(idle, random).size());
  }
}
