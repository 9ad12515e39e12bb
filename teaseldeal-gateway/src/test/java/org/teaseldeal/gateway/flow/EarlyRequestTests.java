package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Requests that reach an instance before it has read its first configuration. */
class EarlyRequestTests {
  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void start() {
    gateway.list("i-1", "10.0.0.1:80", Instant.ofEpochMilli(1_700_000_000_000L));
    gateway.configured = false;
  }

  /**
   * The caller is served. It connects as the process has just started, before the configuration is
   * read; that comes a moment later, and the request goes to a server then.
   */
  @Test
  void areServedOnceTheConfigurationIsKnown() {
    FakeExchange early = gateway.call(GatewayFixture.ONCE);
    gateway.desk.tick();
    assertEquals(0, early.status());
    assertEquals(1, gateway.desk.open());
    gateway.configured = true;
    gateway.desk.tick();
    gateway.sent.getFirst().answer();
    assertEquals(200, early.status());
    assertEquals(0, gateway.desk.open());
  }

  /** The caller is told to come back: the store is away, and no configuration can be read. */
  @Test
  void areRefusedWhereTheConfigurationDoesNotCome() {
    FakeExchange early = gateway.call(GatewayFixture.ONCE);
    gateway.clock.advance(Duration.ofSeconds(1));
    gateway.desk.tick();
    assertEquals(503, early.status());
  }

  /** The caller is told at once as the process is stopped while it starts. */
  @Test
  void areRefusedWhenTheInstanceStops() {
    FakeExchange early = gateway.call(GatewayFixture.ONCE);
    gateway.desk.refuseAll();
    assertEquals(503, early.status());
    assertEquals(0, gateway.desk.open());
  }
}
