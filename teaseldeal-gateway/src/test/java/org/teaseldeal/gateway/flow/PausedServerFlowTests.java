package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.gateway.fake.FakeDialect;
import org.teaseldeal.gateway.fake.FakeExchange;

/** Tests of servers that reject a request and ask for a pause. */
class PausedServerFlowTests {
  private static final String PAUSED = "10.0.0.1:80";
  private static final String OTHER = "10.0.0.2:80";
  private static final Duration PAUSE = Duration.ofSeconds(3);
  private static final Duration STEP = Duration.ofMillis(100);
  private static final int CALLS_IN_PAUSE = 29;

  private final GatewayFixture gateway = new GatewayFixture();

  @BeforeEach
  void askForAPause() {
    gateway.list("server-1", PAUSED, Instant.EPOCH);
    gateway.call(GatewayFixture.ONCE_PATH);
    gateway.sent.getLast().rejectWithPause(PAUSE);
    gateway.sent.clear();
  }

  private long sentTo(String address) {
    return gateway.sent.stream().filter(sent -> sent.address().equals(address)).count();
  }

  private FakeExchange callAndStep() {
    FakeExchange call = gateway.call(GatewayFixture.REPEATABLE_PATH);
    gateway.clock.advance(STEP);
    gateway.dispatcher.tick();
    return call;
  }

  /** Guards against servers that shed load and are pressed on by the instances they told. */
  @Test
  void sendsNothingToAServerInItsPause() {
    gateway.list("server-2", OTHER, Instant.EPOCH);
    for (int i = 0; i < CALLS_IN_PAUSE; i++) {
      callAndStep();
      gateway.sent.getLast().answer();
    }
    assertEquals(0, sentTo(PAUSED));
    assertEquals(CALLS_IN_PAUSE, sentTo(OTHER));
  }

  /** Guards against a paused server that is tried because all others have failed the request. */
  @Test
  void sendsNothingToAServerInItsPauseAfterTheOthersFailed() {
    gateway.list("server-2", OTHER, Instant.EPOCH);
    gateway.clock.advance(Duration.ofMillis(200));
    for (int i = 0; i < 10; i++) {
      gateway.call(GatewayFixture.OFTEN_REPEATABLE_PATH);
      gateway.sent.getLast().loseAnswer();
      gateway.clock.advance(STEP);
      gateway.dispatcher.tick();
    }
    assertEquals(0, sentTo(PAUSED));
  }

  /** Guards against requests that wait, or press on, where all servers pause. */
  @Test
  void refusesAtOnceAsNotRunWhenAllServersPause() {
    gateway.clock.advance(Duration.ofSeconds(1));
    FakeExchange refused = gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(ErrorKind.OVERLOADED.status(), refused.status());
    assertTrue(gateway.sent.isEmpty());
  }

  @Test
  void sendsAgainAfterThePause() {
    gateway.clock.advance(PAUSE);
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(1, sentTo(PAUSED));
  }

  /** Guards against a crowd that meets a server in the moment in which its pause ends. */
  @Test
  void sendsOneRequestAfterThePauseAndTheOthersOnceItIsTaken() {
    gateway.clock.advance(PAUSE);
    for (int i = 0; i < 5; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertEquals(1, sentTo(PAUSED));
    gateway.sent.getLast().answer();
    for (int i = 0; i < 5; i++) {
      gateway.call(GatewayFixture.REPEATABLE_PATH);
    }
    assertTrue(sentTo(PAUSED) >= 6, "sent were " + sentTo(PAUSED));
  }

  /** Guards against a pause that an answer to an earlier request ends. */
  @Test
  void keepsThePauseWhenAnEarlierRequestIsAnswered() {
    gateway.list("server-1", PAUSED, Instant.EPOCH.plusSeconds(1));
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    GatewayFixture.SentRequest earlier = gateway.sent.getLast();
    gateway.call(GatewayFixture.ONCE_PATH);
    gateway.sent.getLast().rejectWithPause(PAUSE);
    earlier.answer();
    gateway.sent.clear();
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(0, sentTo(PAUSED));
  }

  /** Guards against a refusal whose time to come back lies before the end of the pause. */
  @Test
  void namesTheEndOfTheFirstPauseInARefusal() {
    gateway.list("server-2", OTHER, Instant.EPOCH);
    gateway.call(GatewayFixture.ONCE_PATH);
    gateway.sent.getLast().rejectWithPause(Duration.ofSeconds(1));
    FakeExchange refused = gateway.call(GatewayFixture.REPEATABLE_PATH);
    Duration retryAfter = FakeDialect.retryAfter(refused.answerHeaders());
    assertTrue(retryAfter.compareTo(Duration.ofSeconds(1)) >= 0, "was " + retryAfter);
    assertTrue(retryAfter.compareTo(Duration.ofMillis(1_500)) <= 0, "was " + retryAfter);
  }

  /** Guards against a pause that is forgotten as the server's entry lapses and comes back. */
  @Test
  void keepsThePauseWhileTheServerIsNotListed() {
    gateway.servers.remove(new BackendServerId("server-1"));
    gateway.list("server-2", OTHER, Instant.EPOCH);
    gateway.list("server-1", PAUSED, Instant.EPOCH);
    gateway.servers.remove(new BackendServerId("server-2"));
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(0, sentTo(PAUSED));
  }

  @Test
  void sendsToTheNextProcessOfAServerThatPaused() {
    gateway.list("server-1", PAUSED, Instant.EPOCH.plusSeconds(100));
    gateway.call(GatewayFixture.REPEATABLE_PATH);
    assertEquals(1, sentTo(PAUSED));
  }
}
