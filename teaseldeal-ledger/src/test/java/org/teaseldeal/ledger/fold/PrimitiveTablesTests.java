package org.teaseldeal.ledger.fold;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Compares the tables of primitive columns with Java collections while they grow and drop entries.
 */
class PrimitiveTablesTests {
  @Test
  void recentKeysMatchAMapWithExpiry() {
    SplittableRandom random = new SplittableRandom(7);
    RecentKeys recent = new RecentKeys();
    Map<Long, Long> model = new HashMap<>();
    ArrayDeque<long[]> order = new ArrayDeque<>();
    for (long time = 0; time < 20_000; time++) {
      long key = random.nextInt(3_000) << 5;
      if (model.putIfAbsent(key, time) == null) {
        recent.add(key, time, 3, time);
        order.add(new long[] {key, time});
      }
      long limit = time - random.nextInt(900) - 50;
      recent.dropUntil(limit);
      while (!order.isEmpty() && order.element()[1] <= limit) {
        model.remove(order.remove()[0]);
      }
      check(recent, model, random.nextInt(3_000) << 5);
    }
  }

  private static void check(RecentKeys recent, Map<Long, Long> model, long key) {
    int position = recent.find(key);
    Long expected = model.get(key);
    assertEquals(expected == null, position == RecentKeys.NONE);
    if (expected != null) {
      assertEquals(expected, recent.number(position));
    }
    assertEquals(model.size(), recent.size());
  }

  @Test
  void namesKeepTheirIndexesWhileTheTableGrows() {
    NameTable names = new NameTable();
    for (int i = 0; i < 5_000; i++) {
      assertEquals(i, names.add("team-" + i));
    }
    for (int i = 0; i < 5_000; i++) {
      assertEquals(i, names.find("team-" + i));
      assertEquals("team-" + i, names.name(i));
    }
    assertEquals(NameTable.NONE, names.find("team-"));
  }
}
