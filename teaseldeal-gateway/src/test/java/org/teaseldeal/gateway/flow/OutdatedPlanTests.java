package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Tests requests that reach an instance whose configuration may have been replaced. */
class OutdatedPlanTests {
  private static final String UNKNOWN_PATH = "/unknown/1";

  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void start() {
    gateway.list("i-1", "10.0.0.1:80", Instant.ofEpochMilli(1_700_000_000_000L));
  }

  @Test
  void saysThatARouteIsUnknownIfTheConfigurationIsTheNewest() {
    gateway.planAge = Duration.ofMillis(1_500);
    assertEquals(404, gateway.call(UNKNOWN_PATH).status());
  }

  /** Guards against an untrue 404 for a route that was added while the store was out of reach. */
  @Test
  void letsTheCallerComeBackIfTheRouteMayHaveBeenAdded() {
    gateway.planAge = Duration.ofSeconds(2);
    assertEquals(503, gateway.call(UNKNOWN_PATH).status());
  }

  /** Guards against requests that are refused although their route is known. */
  @Test
  void servesKnownRoutesThoughTheConfigurationMayBeOutdated() {
    gateway.planAge = Duration.ofMinutes(1);
    FakeExchange served = gateway.call(GatewayFixture.ONCE_PATH);
    gateway.sent.getFirst().answer();
    assertEquals(200, served.status());
  }
}
