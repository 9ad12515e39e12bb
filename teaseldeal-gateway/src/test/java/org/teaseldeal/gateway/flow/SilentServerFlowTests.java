package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Tests of servers that stop sending in the middle of an answer. */
class SilentServerFlowTests {
  private static final String FIRST = "10.0.0.1:80";
  private static final String SECOND = "10.0.0.2:80";

  /** Longer than the silence after which the requests of the route are sent elsewhere. */
  private static final Duration SILENCE = Duration.ofMillis(3_100);

  private static final Duration STEP = Duration.ofMillis(50);

  private static void waitInSilence(GatewayFixture gateway) {
    for (Duration passed = Duration.ZERO;
        passed.compareTo(SILENCE) < 0;
        passed = passed.plus(STEP)) {
      gateway.clock.advance(STEP);
      gateway.dispatcher.tick();
    }
  }

  private static GatewayFixture.SentRequest lastSent(GatewayFixture gateway) {
    return gateway.sent.getLast();
  }

  /** Guards against a begun stream that is cut off because no retry is left for its silence. */
  @Test
  void keepsABegunStreamIfNoRetryIsAllowed() {
    GatewayFixture gateway = new GatewayFixture(0);
    gateway.list("server-1", FIRST, Instant.EPOCH);
    gateway.list("server-2", SECOND, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    GatewayFixture.SentRequest request = lastSent(gateway);
    request.beginStream();
    waitInSilence(gateway);
    assertFalse(caller.aborted());
    request.sendEvent(1);
    request.endStream();
    assertTrue(caller.finished());
    assertEquals(1, gateway.sent.size());
  }

  /** Guards against a begun stream that is cut off because no other server can go on with it. */
  @Test
  void keepsABegunStreamIfThereIsNoOtherServer() {
    GatewayFixture gateway = new GatewayFixture();
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    GatewayFixture.SentRequest request = lastSent(gateway);
    request.beginStream();
    waitInSilence(gateway);
    assertFalse(caller.aborted());
    request.endStream();
    assertTrue(caller.finished());
  }

  /**
   * Guards against a repeatable request that fails because its only server pauses for longer than
   * usual and answers well within the timeout.
   */
  @Test
  void waitsForTheOnlyServerThatMayAnswer() {
    GatewayFixture gateway = new GatewayFixture();
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.REPEATABLE_PATH);
    waitInSilence(gateway);
    assertEquals(0, caller.status());
    lastSent(gateway).answer();
    assertEquals(200, caller.status());
  }

  /** Guards against a begun stream whose caller waits although another server can go on with it. */
  @Test
  void resumesABegunStreamAtAnotherServer() {
    GatewayFixture gateway = new GatewayFixture();
    gateway.list("server-1", FIRST, Instant.EPOCH);
    gateway.list("server-2", SECOND, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    lastSent(gateway).beginStream();
    waitInSilence(gateway);
    assertEquals(2, gateway.sent.size());
    lastSent(gateway).listener().onHead(200, Map.of());
    lastSent(gateway).sendEvent(1);
    lastSent(gateway).endStream();
    assertTrue(caller.finished());
  }
}
