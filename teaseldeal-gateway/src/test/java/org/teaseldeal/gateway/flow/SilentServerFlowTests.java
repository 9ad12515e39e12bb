package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.net.HttpFailure;

/** Tests of servers that stop sending in the middle of an answer. */
class SilentServerFlowTests {
  private static final String FIRST = "10.0.0.1:80";
  private static final String SECOND = "10.0.0.2:80";

  /** Longer than the silence after which the requests of the route are sent elsewhere. */
  private static final Duration SILENCE = Duration.ofMillis(3_100);

  private static final Duration STEP = Duration.ofMillis(50);

  private static void waitInSilence(GatewayFixture gateway) {
    waitInSilence(gateway, SILENCE);
  }

  private static void waitInSilence(GatewayFixture gateway, Duration silence) {
    for (Duration passed = Duration.ZERO;
        passed.compareTo(silence) < 0;
        passed = passed.plus(STEP)) {
      gateway.clock.advance(STEP);
      gateway.dispatcher.tick();
    }
  }

  /** Lets time pass while each probe that is sent fails. */
  private static void failProbesInSilence(GatewayFixture gateway, HttpFailure failure) {
    int failed = 0;
    for (Duration passed = Duration.ZERO;
        passed.compareTo(SILENCE) < 0;
        passed = passed.plus(STEP)) {
      waitInSilence(gateway, STEP);
      while (failed < gateway.probes.size()) {
        gateway.probes.get(failed++).listener().onFailure(failure, "no answer");
      }
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

  /**
   * Guards against an answer that is given up because its server is silent, before another server
   * has delivered a part of it.
   */
  @Nested
  class BeforeAnotherServerDelivers {
    private final GatewayFixture gateway = new GatewayFixture();

    private GatewayFixture.SentRequest begunStreamAtFirst(FakeExchange[] caller) {
      gateway.list("server-1", FIRST, Instant.EPOCH);
      caller[0] = gateway.call(GatewayFixture.STREAM_PATH);
      GatewayFixture.SentRequest request = lastSent(gateway);
      request.beginStream();
      return request;
    }

    private void endsWhole(FakeExchange caller, GatewayFixture.SentRequest request) {
      assertFalse(caller.aborted());
      request.sendEvent(1);
      request.endStream();
      assertTrue(caller.finished());
      assertEquals(
          "id: 0\ndata: part 0\n\nid: 1\ndata: part 1\n\n",
          new String(caller.answer(), StandardCharsets.UTF_8));
    }

    @Test
    void keepsAStreamWhileNoConnectionToItsServerCanBeOpened() {
      FakeExchange[] caller = new FakeExchange[1];
      GatewayFixture.SentRequest request = begunStreamAtFirst(caller);
      gateway.call(GatewayFixture.ONCE_PATH);
      lastSent(gateway).listener().onFailure(HttpFailure.NOT_SENT, "no connection");
      waitInSilence(gateway);
      endsWhole(caller[0], request);
    }

    @Test
    void keepsAStreamWhoseServersProbeFailsIfNoRetryIsLeft() {
      GatewayFixture withoutRetries = new GatewayFixture(0);
      withoutRetries.list("server-1", FIRST, Instant.EPOCH);
      withoutRetries.list("server-2", SECOND, Instant.EPOCH);
      FakeExchange caller = withoutRetries.call(GatewayFixture.STREAM_PATH);
      GatewayFixture.SentRequest request = lastSent(withoutRetries);
      request.beginStream();
      failProbesInSilence(withoutRetries, HttpFailure.NOT_SENT);
      endsWhole(caller, request);
    }

    @Test
    void keepsAStreamWhileProbesOfAllServersStayUnanswered() {
      GatewayFixture withoutRetries = new GatewayFixture(0);
      withoutRetries.list("server-1", FIRST, Instant.EPOCH);
      withoutRetries.list("server-2", SECOND, Instant.EPOCH);
      withoutRetries.list("server-3", "10.0.0.3:80", Instant.EPOCH);
      FakeExchange caller = withoutRetries.call(GatewayFixture.STREAM_PATH);
      GatewayFixture.SentRequest request = lastSent(withoutRetries);
      request.beginStream();
      failProbesInSilence(withoutRetries, HttpFailure.NO_ANSWER);
      endsWhole(caller, request);
    }

    @Test
    void keepsAStreamIfTheOtherServerCantBeConnectedTo() {
      FakeExchange[] caller = new FakeExchange[1];
      GatewayFixture.SentRequest request = begunStreamAtFirst(caller);
      gateway.list("server-2", SECOND, Instant.EPOCH);
      waitInSilence(gateway);
      assertEquals(SECOND, lastSent(gateway).address());
      lastSent(gateway).listener().onFailure(HttpFailure.NOT_SENT, "no connection");
      waitInSilence(gateway, Duration.ofMillis(500));
      endsWhole(caller[0], request);
    }

    @Test
    void keepsAStreamIfTheOtherServerHasNoRoom() {
      FakeExchange[] caller = new FakeExchange[1];
      GatewayFixture.SentRequest request = begunStreamAtFirst(caller);
      gateway.list("server-2", SECOND, Instant.EPOCH);
      waitInSilence(gateway);
      assertEquals(SECOND, lastSent(gateway).address());
      lastSent(gateway).rejectNotRun();
      waitInSilence(gateway, Duration.ofMillis(500));
      endsWhole(caller[0], request);
    }

    @Test
    void keepsAStreamIfTheOtherServerIsSilentToo() {
      FakeExchange[] caller = new FakeExchange[1];
      GatewayFixture.SentRequest request = begunStreamAtFirst(caller);
      gateway.list("server-2", SECOND, Instant.EPOCH);
      waitInSilence(gateway);
      assertEquals(SECOND, lastSent(gateway).address());
      waitInSilence(gateway, Duration.ofMillis(1_500));
      endsWhole(caller[0], request);
    }

    @Test
    void keepsAStreamThatHasNotBegunIfNoRetryIsLeft() {
      GatewayFixture withoutRetries = new GatewayFixture(0);
      withoutRetries.list("server-1", FIRST, Instant.EPOCH);
      FakeExchange caller = withoutRetries.call(GatewayFixture.STREAM_PATH);
      waitInSilence(withoutRetries);
      assertEquals(0, caller.status());
      lastSent(withoutRetries).beginStream();
      lastSent(withoutRetries).endStream();
      assertTrue(caller.finished());
    }

    @Test
    void keepsAPlainRequestIfTheOtherServerFails() {
      gateway.list("server-1", FIRST, Instant.EPOCH);
      FakeExchange caller = gateway.call(GatewayFixture.REPEATABLE_PATH);
      GatewayFixture.SentRequest request = lastSent(gateway);
      gateway.list("server-2", SECOND, Instant.EPOCH);
      waitInSilence(gateway);
      assertEquals(SECOND, lastSent(gateway).address());
      lastSent(gateway).answer(500);
      assertEquals(0, caller.status());
      request.answer();
      assertEquals(200, caller.status());
    }
  }

  /** Guards against an answer that holds parts of two runs, and a run that goes on for nobody. */
  @Nested
  class WhenTwoServersMayAnswer {
    private final GatewayFixture gateway = new GatewayFixture();
    private final FakeExchange caller;
    private final GatewayFixture.SentRequest silent;
    private final GatewayFixture.SentRequest other;

    WhenTwoServersMayAnswer() {
      gateway.list("server-1", FIRST, Instant.EPOCH);
      caller = gateway.call(GatewayFixture.STREAM_PATH);
      silent = lastSent(gateway);
      silent.beginStream();
      gateway.list("server-2", SECOND, Instant.EPOCH);
      waitInSilence(gateway);
      other = lastSent(gateway);
      assertEquals(SECOND, other.address());
      assertFalse(silent.wasCancelled());
    }

    private String answer() {
      return new String(caller.answer(), StandardCharsets.UTF_8);
    }

    @Test
    void keepsTheSilentServerIfItGoesOnFirst() {
      silent.sendEvent(1);
      assertTrue(other.wasCancelled());
      other.listener().onHead(200, Map.of());
      other.sendEvent(1);
      silent.endStream();
      assertEquals("id: 0\ndata: part 0\n\nid: 1\ndata: part 1\n\n", answer());
      assertTrue(caller.finished());
    }

    @Test
    void keepsTheOtherServerIfItDeliversFirst() {
      other.listener().onHead(200, Map.of());
      assertFalse(silent.wasCancelled());
      other.sendEvent(1);
      assertTrue(silent.wasCancelled());
      silent.sendEvent(1);
      other.sendEvent(2);
      other.endStream();
      assertEquals(
          "id: 0\ndata: part 0\n\nid: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n", answer());
      assertTrue(caller.finished());
    }

    @Test
    void decidesNothingByEventsWithoutData() {
      other.listener().onHead(200, Map.of());
      other.listener().onBodyPart(": wait\n\n".getBytes(StandardCharsets.UTF_8));
      silent.listener().onBodyPart(": wait\n\n".getBytes(StandardCharsets.UTF_8));
      assertFalse(silent.wasCancelled());
      assertFalse(other.wasCancelled());
      assertEquals("id: 0\ndata: part 0\n\n: wait\n\n", answer());
    }

    @Test
    void goesOnAtTheOtherServerIfTheSilentOneFails() {
      silent.loseAnswer();
      assertFalse(caller.aborted());
      other.listener().onHead(200, Map.of());
      other.sendEvent(1);
      other.endStream();
      assertTrue(caller.finished());
      assertEquals(2, gateway.sent.size());
    }

    @Test
    void cancelsBothAtTheDeadline() {
      waitInSilence(gateway);
      assertTrue(caller.aborted());
      assertTrue(silent.wasCancelled());
      assertTrue(other.wasCancelled());
    }

    @Test
    void abortsTheAnswerIfBothFail() {
      other.loseAnswer();
      assertFalse(caller.aborted());
      silent.loseAnswer();
      assertTrue(caller.aborted());
    }
  }

  /**
   * Guards against a caller that waits in vain for a server which can't be reached, although
   * another instance may serve it.
   */
  @Test
  void tellsACallerWithoutAnAnswerThatItsServerCantBeConnectedTo() {
    GatewayFixture gateway = new GatewayFixture(0);
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    GatewayFixture.SentRequest request = lastSent(gateway);
    gateway.call(GatewayFixture.ONCE_PATH);
    lastSent(gateway).listener().onFailure(HttpFailure.NOT_SENT, "no connection");
    waitInSilence(gateway);
    assertEquals(502, caller.status());
    assertTrue(request.wasCancelled());
  }

  /** Guards against a caller that leaves without an answer or a refusal. */
  @Test
  void tellsACallerWithoutAnAnswerBeforeItLeaves() {
    GatewayFixture gateway = new GatewayFixture(0);
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    waitInSilence(gateway, Duration.ofMillis(3_700));
    assertEquals(0, caller.status());
    waitInSilence(gateway, Duration.ofMillis(150));
    assertEquals(502, caller.status());
    assertTrue(lastSent(gateway).wasCancelled());
  }

  /** Guards against an answer that is refused shortly before it arrives, within its deadline. */
  @Test
  void keepsAPlainRequestUntilItsDeadline() {
    GatewayFixture gateway = new GatewayFixture(0);
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.REPEATABLE_PATH);
    waitInSilence(gateway, Duration.ofMillis(4_900));
    assertEquals(0, caller.status());
    lastSent(gateway).answer();
    assertEquals(200, caller.status());
  }

  /** Guards against a stream that is cut because another server sent nothing but a comment. */
  @Test
  void decidesNothingByEventsWithoutDataBeforeTheAnswerBegins() {
    GatewayFixture gateway = new GatewayFixture();
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    GatewayFixture.SentRequest silent = lastSent(gateway);
    gateway.list("server-2", SECOND, Instant.EPOCH);
    waitInSilence(gateway);
    GatewayFixture.SentRequest other = lastSent(gateway);
    other.listener().onHead(200, Map.of());
    other.listener().onBodyPart(": wait\n\n".getBytes(StandardCharsets.UTF_8));
    assertFalse(silent.wasCancelled());
    other.sendEvent(0);
    assertTrue(silent.wasCancelled());
    other.endStream();
    assertEquals(
        ": wait\n\nid: 0\ndata: part 0\n\n", new String(caller.answer(), StandardCharsets.UTF_8));
  }

  /** Guards against a request that may run once and is given up by what the server list says. */
  @Test
  void keepsARequestThatMayRunOnceAtAServerThatWasListedAnew() {
    GatewayFixture gateway = new GatewayFixture();
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.ONCE_PATH);
    GatewayFixture.SentRequest request = lastSent(gateway);
    gateway.list("server-1", FIRST, Instant.EPOCH.plusSeconds(1));
    waitInSilence(gateway);
    assertEquals(0, caller.status());
    request.answer();
    assertEquals(200, caller.status());
  }

  /** Guards against a caller that waits for a process which another one has replaced. */
  @Test
  void endsTheAnswerOfASilentServerThatHasBeenReplaced() {
    GatewayFixture gateway = new GatewayFixture(0);
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    lastSent(gateway).beginStream();
    gateway.list("server-1", FIRST, Instant.EPOCH.plusSeconds(1));
    assertFalse(caller.aborted());
    waitInSilence(gateway);
    assertTrue(caller.aborted());
    assertTrue(lastSent(gateway).wasCancelled());
  }

  /** Guards against a retry that counts twice because no connection could be opened for it. */
  @Test
  void sendsToAThirdServerWithTheRetryThatTheSecondDidNotUse() {
    GatewayFixture gateway = new GatewayFixture(2);
    gateway.list("server-1", FIRST, Instant.EPOCH);
    FakeExchange caller = gateway.call(GatewayFixture.STREAM_PATH);
    lastSent(gateway).beginStream();
    gateway.list("server-2", SECOND, Instant.EPOCH);
    waitInSilence(gateway);
    lastSent(gateway).listener().onFailure(HttpFailure.NOT_SENT, "no connection");
    gateway.list("server-3", "10.0.0.3:80", Instant.EPOCH);
    waitInSilence(gateway, STEP);
    assertEquals("10.0.0.3:80", lastSent(gateway).address());
    lastSent(gateway).listener().onHead(200, Map.of());
    lastSent(gateway).sendEvent(1);
    lastSent(gateway).endStream();
    assertTrue(caller.finished());
  }
}
