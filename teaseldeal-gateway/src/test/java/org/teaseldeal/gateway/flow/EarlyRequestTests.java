package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Tests requests that reach an instance before it has read its first configuration. */
class EarlyRequestTests {
  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void start() {
    gateway.list("i-1", "10.0.0.1:80", Instant.ofEpochMilli(1_700_000_000_000L));
    gateway.configured = false;
  }

  /**
   * A caller may connect right after the process has started, before the configuration is read. Its
   * request is held and sent to a server once the configuration is known.
   */
  @Test
  void servesARequestOnceTheConfigurationIsKnown() {
    FakeExchange early = gateway.call(GatewayFixture.ONCE_PATH);
    gateway.dispatcher.tick();
    assertEquals(0, early.status());
    assertEquals(1, gateway.dispatcher.openRequests());
    gateway.configured = true;
    gateway.dispatcher.tick();
    gateway.sent.getFirst().answer();
    assertEquals(200, early.status());
    assertEquals(0, gateway.dispatcher.openRequests());
  }

  /**
   * The configuration store is unavailable, so no configuration can be read. The caller is refused
   * with a suggestion to retry.
   */
  @Test
  void refusesARequestIfTheConfigurationIsNotReadInTime() {
    FakeExchange early = gateway.call(GatewayFixture.ONCE_PATH);
    gateway.clock.advance(Duration.ofSeconds(1));
    gateway.dispatcher.tick();
    assertEquals(503, early.status());
  }

  /**
   * Guards against early requests that are never answered because the handling of another one that
   * was due at the same time failed.
   */
  @Test
  void servesTheOtherRequestsIfTheHandlingOfOneFails() {
    FakeExchange failing =
        new FakeExchange(GatewayFixture.ONCE_PATH) {
          @Override
          public byte[] body() {
            throw new IllegalStateException("the body is gone");
          }
        };
    gateway.dispatcher.handle(failing);
    FakeExchange early = gateway.call(GatewayFixture.ONCE_PATH);
    gateway.configured = true;
    gateway.dispatcher.tick();
    assertTrue(failing.aborted());
    gateway.sent.getFirst().answer();
    assertEquals(200, early.status());
    assertEquals(0, gateway.dispatcher.openRequests());
  }

  /** Guards against callers that leave without an answer before the configuration is read. */
  @Test
  void refusesARequestBeforeItsCallerLeaves() {
    FakeExchange early =
        new FakeExchange(GatewayFixture.ONCE_PATH).withCallerTimeout(Duration.ofMillis(400));
    gateway.dispatcher.handle(early);
    gateway.clock.advance(Duration.ofMillis(150));
    gateway.dispatcher.tick();
    assertEquals(0, early.status());
    gateway.clock.advance(Duration.ofMillis(100));
    gateway.dispatcher.tick();
    assertEquals(503, early.status());
  }

  /** Guards against requests that are sent to a server after their deadline. */
  @Test
  void sendsNoRequestWhoseDeadlineHasPassed() {
    gateway.configured = true;
    FakeExchange late =
        new FakeExchange(GatewayFixture.ONCE_PATH).withTimeSinceHead(Duration.ofSeconds(6));
    gateway.dispatcher.handle(late);
    assertEquals(0, gateway.sent.size());
    assertEquals(504, late.status());
    assertEquals(0, gateway.dispatcher.openRequests());
  }

  /** The process is stopped while it starts. The caller is refused at once. */
  @Test
  void refusesARequestWhenTheInstanceStops() {
    FakeExchange early = gateway.call(GatewayFixture.ONCE_PATH);
    gateway.dispatcher.refuseAllNotRun();
    assertEquals(503, early.status());
    assertEquals(0, gateway.dispatcher.openRequests());
  }
}
