package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.event.GatewayEvent;

/** Tests of servers that announce that they fail if they have to reject too many requests. */
class BrittleServerTests {
  private static final int SLOTS = 6;
  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void list() {
    gateway.list("server-1", "10.0.0.1:80", Instant.EPOCH);
  }

  private void announce() {
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.sent.getLast().answerAsBrittle(5);
  }

  /**
   * A request beyond a brittle server's slots would be rejected there and help to bring it down.
   */
  @Test
  void refusesRequestsForWhichABrittleServerHasNoRoom() {
    announce();
    for (int i = 0; i < SLOTS; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    int sent = gateway.sent.size();
    var refused = gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(sent, gateway.sent.size());
    gateway.clock.advance(Duration.ofMillis(450));
    gateway.dispatcher.tick();
    assertEquals(sent, gateway.sent.size());
    assertEquals(ErrorKind.OVERLOADED.status(), refused.status());
  }

  @Test
  void sendsWaitingRequestAsSoonAsAnAnswerMakesRoom() {
    announce();
    for (int i = 0; i <= SLOTS; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    int sent = gateway.sent.size();
    gateway.sent.getLast().answerAsBrittle(5);
    gateway.dispatcher.tick();
    assertEquals(sent + 1, gateway.sent.size());
  }

  @Test
  void sendsAsBeforeOnceServersAreNoLongerBrittle() {
    announce();
    for (int i = 0; i < SLOTS; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    gateway.sent.getLast().answer();
    for (int i = 0; i < SLOTS; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertEquals(1 + 2 * SLOTS, gateway.sent.size());
    assertTrue(
        gateway.events.stream()
            .anyMatch(event -> event instanceof GatewayEvent.ServersBrittle now && !now.brittle()));
  }
}
