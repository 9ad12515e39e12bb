package org.teaseldeal.gateway.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RouteTests {
  /** Guards against weights whose sum overflows, so that one service gets all requests. */
  @Test
  void drawsAllServicesWithLargeWeights() {
    Route route =
        new Route(
            "route",
            "desk.example",
            "/a/",
            RouteKind.IDEMPOTENT,
            false,
            false,
            Duration.ofSeconds(1),
            Duration.ofMillis(100),
            Duration.ZERO,
            0,
            1,
            List.of(
                new WeightedService("one", Integer.MAX_VALUE),
                new WeightedService("two", Integer.MAX_VALUE)));
    Random random = new Random(1);
    Set<String> drawn = new HashSet<>();
    for (int i = 0; i < 100; i++) {
      drawn.add(route.drawService(random));
    }
    assertEquals(Set.of("one", "two"), drawn);
  }
}
