package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.BackendServer;

/** Tests of servers that say in their answers that they leave. */
class LeavingServerFlowTests {
  private static final String LEAVING = "10.0.0.1:80";
  private static final String OTHER = "10.0.0.2:80";
  private static final int CALLS = 20;

  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void announceLeave() {
    gateway.list("server-1", LEAVING, Instant.EPOCH);
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.sent.getLast().answerAsLeaving();
    gateway.sent.clear();
  }

  private long sentTo(String address) {
    return gateway.sent.stream().filter(sent -> sent.address().equals(address)).count();
  }

  private void callOften() {
    for (int i = 0; i < CALLS; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
      gateway.clock.advance(Duration.ofMillis(100));
      gateway.dispatcher.tick();
      gateway.sent.getLast().answer();
    }
  }

  /** Guards against requests to a server that leaves while the list can't be read. */
  @Test
  void sendsNothingToAServerThatSaidThatItLeaves() {
    gateway.list("server-2", OTHER, Instant.EPOCH);
    callOften();
    assertEquals(0, sentTo(LEAVING));
    assertEquals(CALLS, sentTo(OTHER));
  }

  /** Guards against an outdated listing that makes a leaving server ready again. */
  @Test
  void keepsTheLeaveWhenTheServerIsListedAsReadyAgain() {
    gateway.list("server-2", OTHER, Instant.EPOCH);
    gateway.list("server-1", LEAVING, Instant.EPOCH);
    gateway.servers.remove(new BackendServerId("server-1"));
    gateway.list("server-1", LEAVING, Instant.EPOCH);
    callOften();
    assertEquals(0, sentTo(LEAVING));
  }

  /** Guards against requests that wait until their deadline for servers that all leave. */
  @Test
  void refusesAtOnceAsNotRunWhenAllServersLeave() {
    gateway.clock.advance(Duration.ofSeconds(2));
    FakeExchange refused = gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(ErrorKind.NO_BACKEND_SERVER.status(), refused.status());
    assertTrue(gateway.sent.isEmpty());
  }

  /** Guards against instances that go on sending until a server tells each of them. */
  @Test
  void tellsTheOtherInstancesOnce() {
    gateway.list("server-2", OTHER, Instant.EPOCH);
    assertEquals(
        List.of(new SharedNote.ServerLeave("instance-1", "server-1@0")), gateway.broadcasts);
    gateway.leaves.onMessage(new SharedNote.ServerLeave("instance-2", "server-2@0"));
    assertFalse(gateway.server("server-2").isListedAsReady());
    assertEquals(1, gateway.broadcasts.size());
  }

  /** Guards against a leave that is lost because its message comes before the listing. */
  @Test
  void keepsALeaveOfAServerThatIsListedLater() {
    gateway.leaves.onMessage(new SharedNote.ServerLeave("instance-2", "server-2@0"));
    gateway.list("server-2", OTHER, Instant.EPOCH);
    assertFalse(gateway.server("server-2").isListedAsReady());
  }

  @Test
  void dropsAMessageThatNamesNoServer() {
    gateway.list("server-2", OTHER, Instant.EPOCH);
    gateway.leaves.onMessage(new SharedNote.ServerLeave("instance-2", "server-2@soon"));
    assertTrue(gateway.server("server-2").isListedAsReady());
  }

  @Test
  void logsTheLeaveOnceForEachProcess() {
    gateway.leaves.onMessage(new SharedNote.ServerLeave("instance-2", "server-1@0"));
    assertEquals(
        List.of(new GatewayEvent.ServerLeaveAnnounced("server-1@0", "instance-1")),
        gateway.events.stream()
            .filter(GatewayEvent.ServerLeaveAnnounced.class::isInstance)
            .toList());
  }

  @Test
  void sendsToTheNextProcessOfAServerThatLeft() {
    gateway.list("server-1", LEAVING, Instant.EPOCH.plusSeconds(100));
    BackendServer next = gateway.server("server-1");
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(1, sentTo(LEAVING));
    assertTrue(next.isListedAsReady());
  }
}
