package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.server.ServerListing;

/**
 * The load is that of an instance with a few open requests, of which most only wait for the next
 * part of an answer.
 */
class DueRequestTests {
  private static final Duration ROUND = DueTasks.RESOLUTION;

  /** The timeout of the fixture's routes. */
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  /** Three times the latency target of the fixture's routes. */
  private static final Duration MAX_SILENCE = Duration.ofSeconds(3);

  private final GatewayFixture gateway = new GatewayFixture();
  private boolean losesWakeUps;
  private Instant dueAt = Instant.MIN;
  private int ticks;

  DueRequestTests() {
    gateway.dispatcher.onDue(
        () -> {
          if (!losesWakeUps) {
            dueAt = Instant.MIN;
          }
        });
  }

  /** Ticks when the requests are due, or after the longest pause of a task. */
  private void run(Duration time) {
    for (Duration passed = Duration.ZERO; passed.compareTo(time) < 0; passed = passed.plus(ROUND)) {
      gateway.clock.advance(ROUND);
      Instant now = gateway.clock.instant();
      if (now.isBefore(dueAt)) {
        continue;
      }
      ticks++;
      gateway.dispatcher.tick();
      Instant latest = now.plus(DueTasks.MAX_PAUSE);
      Instant next = gateway.dispatcher.dueAt();
      dueAt = next.isBefore(latest) ? next : latest;
    }
  }

  private void listServer(int number) {
    gateway.list("server-" + number, "10.0.0." + number + ":80", Instant.EPOCH);
  }

  @Test
  void endsARequestAtItsDeadline() {
    listServer(1);
    FakeExchange exchange = gateway.call(GatewayFixture.ONCE_PATH);
    run(TIMEOUT.minus(ROUND));
    assertEquals(0, exchange.status());
    run(ROUND.multipliedBy(2));
    assertEquals(ErrorKind.DEADLINE_PASSED.status(), exchange.status());
  }

  /** A lost wake-up must not hang a request: its deadline ends it within the longest pause. */
  @Test
  void endsARequestSoonAfterItsDeadlineIfWakeUpsAreLost() {
    listServer(1);
    run(Duration.ofSeconds(1));
    losesWakeUps = true;
    FakeExchange exchange = gateway.call(GatewayFixture.ONCE_PATH);
    run(TIMEOUT.plus(DueTasks.MAX_PAUSE));
    assertEquals(ErrorKind.DEADLINE_PASSED.status(), exchange.status());
  }

  /** A server that lost power sends nothing more; another one must get its requests in time. */
  @Test
  void failsOverFromASilentServerInTime() {
    listServer(1);
    listServer(2);
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    run(MAX_SILENCE.minus(ROUND));
    assertEquals(1, gateway.sent.size());
    run(Duration.ofMillis(80));
    assertEquals(2, gateway.sent.size());
  }

  /** A server that sends bytes but no answer must not hold its request until the deadline. */
  @Test
  void failsOverFromAServerThatDoesNotComeForward() {
    listServer(1);
    listServer(2);
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    for (int i = 0; i < 31; i++) {
      gateway.sent.getFirst().listener().onBodyPart(new byte[0]);
      run(Duration.ofMillis(100));
    }
    assertEquals(2, gateway.sent.size());
  }

  @Test
  void sendsAWaitingRequestInTheNextRound() {
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    run(Duration.ofMillis(200));
    gateway.servers.put(
        new ServerListing(
            new BackendServerId("server-1"),
            GatewayFixture.SERVICE,
            "10.0.0.1:80",
            "hall-a",
            "v1",
            6,
            false,
            Optional.empty()));
    run(ROUND);
    assertEquals(1, gateway.sent.size());
  }

  @Test
  void looksRarelyWhileNothingIsDue() {
    listServer(1);
    gateway.call(GatewayFixture.ONCE_PATH);
    run(Duration.ofMillis(20));
    ticks = 0;
    run(Duration.ofMillis(280));
    assertTrue(ticks <= 4, ticks + " ticks");
  }
}
