package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class LoadCollectorChoiceTests {
  @Test
  void choosesAllInstancesOfASmallFleet() {
    Set<String> fleet = Set.copyOf(names("instance", 9));
    assertEquals(fleet, LoadCollectorChoice.collectors(fleet));
  }

  @Test
  void choosesTheSameCollectorsWhateverTheOrder() {
    List<String> fleet = names("instance", 95);
    assertEquals(
        LoadCollectorChoice.collectors(fleet), LoadCollectorChoice.collectors(fleet.reversed()));
  }

  /**
   * Guards against a number of collectors that grows in proportion to the fleet, since each one
   * sends to all others.
   */
  @Test
  void choosesTheSquareRootOfTheFleetSize() {
    assertEquals(10, LoadCollectorChoice.collectors(names("instance", 95)).size());
    assertEquals(21, LoadCollectorChoice.collectors(names("instance", 420)).size());
  }

  /**
   * Guards against a fleet in which all instances change their collectors when one instance joins.
   */
  @Test
  void keepsMostCollectorsWhenAnInstanceJoins() {
    Set<String> before = LoadCollectorChoice.collectors(names("instance", 95));
    Set<String> kept = new HashSet<>(LoadCollectorChoice.collectors(names("instance", 96)));
    kept.retainAll(before);
    assertTrue(kept.size() >= before.size() - 1, kept + " of " + before);
  }

  @Test
  void spreadsInstancesOverAllCollectors() {
    Set<String> collectors = LoadCollectorChoice.collectors(names("instance", 95));
    Map<String, Integer> first = new HashMap<>();
    for (String instance : names("reporter", 950)) {
      first.merge(
          LoadCollectorChoice.preferenceOrder(instance, collectors).getFirst(), 1, Integer::sum);
    }
    assertEquals(collectors, first.keySet());
    first.forEach(
        (collector, count) -> assertTrue(count <= 140, collector + " has " + count + " of 950"));
  }

  private static List<String> names(String kind, int count) {
    return IntStream.range(0, count).mapToObj(i -> kind + "-" + i).toList();
  }
}
