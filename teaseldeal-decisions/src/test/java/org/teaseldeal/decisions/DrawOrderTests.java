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
   * Guards against instances that all ask the same peer at the beginning of a network partition.
   * Eight instances lack tokens of one customer at the same moment; two peers have many tokens and
   * six have some, so the peers asked first have to differ.
   */
  @Test
  void spreadsInstancesThatAskAtTheSameTime() {
    Map<String, Long> idle = new HashMap<>();
    for (int i = 0; i < 8; i++) {
      idle.put("instance-" + i, i < 2 ? 30_000L : 10_000L);
    }
    Map<String, Integer> firsts = new HashMap<>();
    for (int i = 0; i < 800; i++) {
      firsts.merge(DrawOrder.peersToAsk(idle, random).getFirst(), 1, Integer::sum);
    }
    int most = firsts.values().stream().mapToInt(Integer::intValue).max().orElseThrow();
    assertTrue(
        most < 400,
        "one peer was asked first %d of 800 times, expected less than 400".formatted(most));
    assertTrue(
        firsts.getOrDefault("instance-0", 0) > firsts.getOrDefault("instance-5", 0),
        "expected a peer with many tokens to be asked first more often than one with some");
  }

  @Test
  void leavesOutPeersWithoutIdleTokens() {
    assertEquals(List.of("b"), DrawOrder.peersToAsk(Map.of("a", 0L, "b", 5L), random));
  }

  /** Guards against requests that wait for the answers of many peers in a fleet of hundreds. */
  @Test
  void asksFewPeersInALargeFleet() {
    Map<String, Long> idle = new HashMap<>();
    for (int i = 0; i < 400; i++) {
      idle.put("instance-" + i, 1_000L);
    }
    assertEquals(8, DrawOrder.peersToAsk(idle, random).size());
  }
}
