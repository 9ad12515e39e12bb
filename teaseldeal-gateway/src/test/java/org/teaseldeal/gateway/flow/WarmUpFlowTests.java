package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.server.ServerListing;

/** Tests of requests to servers that tolerate only so many of them while they warm up. */
class WarmUpFlowTests {
  private static final int LIMIT = 21;

  /** What an instance may use of the limit without knowing of another. */
  private static final int SHARE = 3;

  private static final Duration WARM_UP = Duration.ofSeconds(3);
  private static final String COLD = "10.0.0.1:80";
  private static final String WARM = "10.0.0.2:80";

  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void limit() {
    gateway.warmUpLimit = LIMIT;
    gateway.clock.advance(Duration.ofSeconds(2));
    gateway.dispatcher.tick();
  }

  /** A server back from a crash has no load, so that every request would choose it. */
  @Test
  void sendsRequestsBeyondTheLimitToOtherServers() {
    list("server-1", COLD, WARM_UP);
    list("server-2", WARM, Duration.ZERO);
    for (int i = 0; i < 5 * LIMIT; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertEquals(SHARE, sentTo(COLD));
    assertEquals(5 * LIMIT - SHARE, sentTo(WARM));
  }

  @Test
  void refusesAsNotRunWhenAllServersWarmUp() {
    list("server-1", COLD, WARM_UP);
    for (int i = 0; i < SHARE; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    var refused = gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.clock.advance(Duration.ofMillis(450));
    gateway.dispatcher.tick();
    assertEquals(ErrorKind.OVERLOADED.status(), refused.status());
    assertEquals(SHARE, gateway.sent.size());
  }

  /** A request that a partition holds up arrives together with those that are sent later. */
  @Test
  void countsRequestsUntilASecondAfterTheirAnswerHasBegun() {
    list("server-1", COLD, WARM_UP);
    for (int i = 0; i < SHARE; i++) {
      gateway.call(GatewayFixture.ONCE_PATH);
    }
    gateway.clock.advance(Duration.ofMillis(1500));
    list("server-1", COLD, Duration.ofMillis(1500));
    gateway.call(GatewayFixture.ONCE_PATH);
    assertEquals(SHARE, gateway.sent.size());
    gateway.sent.getFirst().answer();
    gateway.dispatcher.tick();
    assertEquals(SHARE, gateway.sent.size());
    gateway.clock.advance(Duration.ofMillis(1100));
    list("server-1", COLD, Duration.ofMillis(400));
    gateway.call(GatewayFixture.ONCE_PATH);
    assertEquals(SHARE + 1, gateway.sent.size());
  }

  /** Requests to the server while it was warm may arrive after it has begun to warm up. */
  @Test
  void countsRequestsSentBeforeTheServerBeganToWarmUpAgain() {
    list("server-1", COLD, Duration.ZERO);
    for (int i = 0; i < SHARE; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    list("server-1", COLD, WARM_UP);
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(SHARE, gateway.sent.size());
  }

  /** The server may have begun to warm up since its last heartbeat, which is long ago. */
  @Test
  void limitsServersThatHaveNotBeenHeardOfLately() {
    list("server-1", COLD, Duration.ZERO);
    gateway.clock.advance(Duration.ofSeconds(13));
    gateway.dispatcher.tick();
    for (int i = 0; i < 2 * LIMIT; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertEquals(SHARE, gateway.sent.size());
    list("server-1", COLD, Duration.ZERO);
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertTrue(gateway.sent.size() > SHARE);
  }

  /** The process before a restart may have used its share a moment ago. */
  @Test
  void sendsNothingToWarmingServersRightAfterAStart() {
    GatewayFixture restarted = new GatewayFixture();
    restarted.warmUpLimit = LIMIT;
    put(restarted, "server-1", COLD, WARM_UP);
    restarted.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(List.of(), restarted.sent);
  }

  /** The servers of an evacuated data centre are cold when its evacuation ends. */
  @Test
  void limitsServersAfterTheEvacuationOfTheirDataCentre() {
    list("server-1", COLD, Duration.ZERO);
    gateway.servers.evacuate("hall-a");
    var refused = gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(ErrorKind.NO_BACKEND_SERVER.status(), refused.status());
    gateway.servers.endEvacuation("hall-a");
    list("server-1", COLD, Duration.ZERO);
    for (int i = 0; i < 2 * LIMIT; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertEquals(SHARE, gateway.sent.size());
  }

  private long sentTo(String address) {
    return gateway.sent.stream().filter(sent -> sent.address().equals(address)).count();
  }

  private void list(String id, String address, Duration warmUpLeft) {
    put(gateway, id, address, warmUpLeft);
  }

  private static void put(GatewayFixture gateway, String id, String address, Duration warmUpLeft) {
    gateway.servers.tick(gateway.clock.instant());
    gateway.servers.put(
        new ServerListing(
            new BackendServerId(id),
            GatewayFixture.SERVICE,
            address,
            "hall-a",
            "v1",
            6,
            false,
            Optional.of(Instant.EPOCH),
            warmUpLeft));
    gateway.dispatcher.tick();
  }
}
