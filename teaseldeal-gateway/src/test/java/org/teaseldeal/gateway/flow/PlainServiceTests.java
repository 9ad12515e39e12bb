package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Tests of requests to a service without engines, for which its servers have too little room. */
class PlainServiceTests {
  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void list() {
    gateway.dispatcher.placePlainRequests();
    gateway.list("server-1", "10.0.0.1:80", Instant.EPOCH);
  }

  private FakeExchange callOnce() {
    return gateway.call(GatewayFixture.ONCE_PATH);
  }

  private void fillServer() {
    callOnce();
    gateway.sent.getLast().rejectNotRun();
  }

  private void waitForRoom() {
    gateway.clock.advance(Duration.ofMillis(101));
    gateway.dispatcher.tick();
  }

  /** A request that may be sent only once must not be sent to a server that rejects it. */
  @Test
  void holdsARequestWhileTheOnlyServerIsFull() {
    fillServer();
    FakeExchange held = callOnce();
    assertEquals(1, gateway.sent.size());
    assertEquals(1, gateway.dispatcher.requestsWaitingForRoom());
    assertTrue(
        gateway.events.stream().anyMatch(event -> event instanceof GatewayEvent.WaitsForRoom));
    gateway.dispatcher.tick();
    assertEquals(1, gateway.sent.size());
    waitForRoom();
    assertEquals(2, gateway.sent.size());
    assertEquals(0, gateway.dispatcher.requestsWaitingForRoom());
    gateway.sent.getLast().answer();
    assertEquals(200, held.status());
  }

  /** A request that arrives while others wait must not overtake them. */
  @Test
  void sendsRequestsInOrder() {
    fillServer();
    callOnce();
    gateway.clock.advance(Duration.ofMillis(101));
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.dispatcher.tick();
    assertEquals(3, gateway.sent.size());
    assertEquals(GatewayFixture.ONCE_PATH, gateway.sent.get(1).request().path());
    assertEquals(GatewayFixture.REPEATABLE_PATH, gateway.sent.get(2).request().path());
  }

  /** A caller must learn at once that its request can't be served before its deadline. */
  @Test
  void refusesAtOnceWhatCannotBeServedInTime() {
    fillServer();
    List<FakeExchange> calls = new ArrayList<>();
    for (int i = 0; i < 2_000; i++) {
      calls.add(callOnce());
    }
    assertEquals(1, gateway.sent.size());
    assertEquals(0, calls.getFirst().status());
    assertEquals(ErrorKind.OVERLOADED.status(), calls.getLast().status());
    assertNotEquals(0, gateway.dispatcher.requestsWaitingForRoom());
  }

  /** A server that stays full must not keep callers until their deadlines. */
  @Test
  void refusesWaitingRequestsAsNotRunOnceTheyAreTooLate() {
    fillServer();
    FakeExchange held = callOnce();
    gateway.clock.advance(Duration.ofMillis(4_960));
    gateway.dispatcher.tick();
    assertEquals(ErrorKind.OVERLOADED.status(), held.status());
    assertEquals(1, gateway.sent.size());
    assertEquals(0, gateway.dispatcher.requestsWaitingForRoom());
  }

  /** A stop must not leave a caller without an answer whose request waits. */
  @Test
  void refusesWaitingRequestsWhenTheInstanceStops() {
    fillServer();
    FakeExchange held = callOnce();
    gateway.dispatcher.refuseAllNotRun();
    assertEquals(ErrorKind.DRAINING.status(), held.status());
    assertEquals(0, gateway.dispatcher.requestsWaitingForRoom());
  }

  /** A server's own error on a request that may be repeated is answered by another server. */
  @Test
  void repeatsAFailedSafeRequestAtAnotherServer() {
    gateway.list("server-2", "10.0.0.2:80", Instant.EPOCH);
    FakeExchange call = gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.sent.getLast().answer(500);
    assertEquals(2, gateway.sent.size());
    assertNotEquals(gateway.sent.getFirst().address(), gateway.sent.getLast().address());
    gateway.sent.getLast().answer();
    assertEquals(200, call.status());
  }
}
