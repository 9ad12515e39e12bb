package org.teaseldeal.gateway.plan;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class RouteTableTests {
  private final RouteTable table =
      new RouteTable(
          List.of(
              route("short", "desk.example", "/a/"),
              route("long", "desk.example", "/a/b/"),
              route("other", "other.example", "/a/")));

  @Test
  void choosesTheLongestPrefixOfTheHost() {
    assertEquals(Optional.of("long"), found("desk.example", "/a/b/c?x=/a/"));
    assertEquals(Optional.of("short"), found("desk.example", "/a/bc"));
    assertEquals(Optional.of("other"), found("other.example", "/a/b/c"));
  }

  @Test
  void ignoresCaseAndPortOfHosts() {
    assertEquals(Optional.of("short"), found("Desk.Example:8080", "/a/"));
  }

  @Test
  void findsNoRouteForOtherHostsOrPaths() {
    assertEquals(Optional.empty(), found("desk.example", "/b/"));
    assertEquals(Optional.empty(), found("nowhere.example", "/a/"));
    assertEquals(Optional.empty(), found("desk.example", "/a"));
  }

  private Optional<String> found(String host, String target) {
    return table.find(host, target).map(Route::name);
  }

  private static Route route(String name, String host, String prefix) {
    return new Route(
        name,
        host,
        prefix,
        RouteKind.IDEMPOTENT,
        false,
        false,
        Duration.ofSeconds(1),
        Duration.ofMillis(100),
        Duration.ZERO,
        0,
        1,
        List.of(new WeightedService("register", 1)));
  }
}
