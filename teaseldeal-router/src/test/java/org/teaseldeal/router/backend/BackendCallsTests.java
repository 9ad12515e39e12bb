package org.teaseldeal.router.backend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.AttemptFailure;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.AnswerFraming;
import org.teaseldeal.net.EncodedAnswer;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.router.fake.FakeBackendServer;

@Timeout(30)
class BackendCallsTests {
  private static final AttemptId ATTEMPT = new AttemptId(new IncarnationId("r-1.x"), 7);
  private static final RequestId REQUEST = new RequestId("req/1");

  private final LinkedBlockingQueue<InstanceEvent> events = new LinkedBlockingQueue<>();
  private final FakeBackendServer server = new FakeBackendServer();
  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private final BackendCalls calls =
      new BackendCalls(client, events::add, new PlainServiceAddresses(), 100, new MetricRegistry());

  BackendCallsTests() throws IOException {}

  @AfterEach
  void close() {
    client.close();
    server.close();
  }

  @Nested
  class AtAnEngine {
    @Test
    void sendsIdsPriorityModelAndOutputLimit() throws Exception {
      calls.start(modelCall(OptionalLong.empty()));
      HttpExchange exchange = server.awaitRequest();
      assertEquals("POST /v1/chat/completions", exchange.method() + " " + exchange.path());
      assertEquals(Optional.of("req/1"), exchange.header("Request-Id"));
      assertEquals(Optional.of("r-1.x-7"), exchange.header("Attempt-Id"));
      assertEquals(Optional.of("2"), exchange.header("Priority"));
      assertEquals("{\"model\":\"m\",\"max_tokens\":5,\"stream\":true}", text(exchange.body()));
    }

    @Test
    void reportsFramesAndTheEnd() throws Exception {
      calls.start(modelCall(OptionalLong.empty()));
      ResponseStream stream = server.awaitRequest().startStream(200, Map.of());
      stream.write(FakeBackendServer.frame("r-1.x-7", 0, "a"));
      stream.write(FakeBackendServer.usage("r-1.x-7", 1, 3, 4));
      stream.finish();
      var frame = nextEvent(InstanceEvent.FrameReceived.class);
      assertEquals(ATTEMPT, frame.attempt());
      assertEquals(0, frame.position());
      assertEquals(
          new InstanceEvent.StreamFinished(ATTEMPT, 1, new Usage(3, 4)),
          nextEvent(InstanceEvent.StreamFinished.class));
    }

    @Test
    void reportsFramesOfOtherAttemptsUnderTheirOwnId() throws Exception {
      // Guards against frames of another request in an answer, when an engine mixes up two answers.
      // Events carry the attempt id of the chunk, so that the instance can drop them, and the end
      // of the other attempt doesn't complete this one.
      calls.start(modelCall(OptionalLong.empty()));
      ResponseStream stream = server.awaitRequest().startStream(200, Map.of());
      stream.write(FakeBackendServer.frame("r2.y-9", 4, "crossed"));
      stream.write(FakeBackendServer.usage("r2.y-9", 5, 3, 4));
      stream.finish();
      AttemptId other = new AttemptId(new IncarnationId("r2.y"), 9);
      assertEquals(other, nextEvent(InstanceEvent.FrameReceived.class).attempt());
      assertEquals(other, nextEvent(InstanceEvent.StreamFinished.class).attempt());
      assertFailed(AttemptFailure.LOST_MID_ANSWER);
    }

    @Test
    void resumesFromAPosition() throws Exception {
      calls.start(modelCall(OptionalLong.of(3)));
      HttpExchange exchange = server.awaitRequest();
      assertEquals(
          "GET /v1/requests/req%2F1/stream?from=3", exchange.method() + " " + exchange.path());
      exchange.respond(404, Map.of(), new byte[0]);
      assertFailed(AttemptFailure.RESUME_UNKNOWN);
    }

    @Test
    void reportsABusyEngineOnResumeAsLostAndNotAsRefused() throws Exception {
      // Guards against a request that runs twice. The request has already run when the engine
      // answers the resumption with 503. If the answer counted as "not run", the caller would be
      // told so and would send the request again.
      calls.start(modelCall(OptionalLong.of(3)));
      server.awaitRequest().respond(503, Map.of(), new byte[0]);
      assertFailed(AttemptFailure.LOST_BEFORE_ANSWER);
    }

    @Test
    void reportsHowAnAttemptFailed() throws Exception {
      assertAnswerMeans(429, AttemptFailure.REFUSED_BY_SERVER);
      assertAnswerMeans(503, AttemptFailure.REFUSED_BY_SERVER);
      assertAnswerMeans(500, AttemptFailure.SERVER_ERROR);
      assertAnswerMeans(400, AttemptFailure.SERVER_ERROR);
      calls.start(modelCall(OptionalLong.empty()));
      server.awaitRequest().abort();
      assertFailed(AttemptFailure.LOST_BEFORE_ANSWER);
      calls.start(modelCall(OptionalLong.empty()));
      ResponseStream stream = server.awaitRequest().startStream(200, Map.of());
      stream.write(FakeBackendServer.frame("r-1.x-7", 0, "a"));
      stream.abort();
      nextEvent(InstanceEvent.FrameReceived.class);
      assertFailed(AttemptFailure.LOST_MID_ANSWER);
      server.close();
      calls.start(modelCall(OptionalLong.empty()));
      assertFailed(AttemptFailure.NOT_SENT);
    }

    @Test
    void reportsAnAnswerWithoutUsageAsBroken() throws Exception {
      calls.start(modelCall(OptionalLong.empty()));
      ResponseStream stream = server.awaitRequest().startStream(200, Map.of());
      stream.write(FakeBackendServer.frame("r-1.x-7", 0, "a"));
      stream.finish();
      nextEvent(InstanceEvent.FrameReceived.class);
      assertFailed(AttemptFailure.LOST_MID_ANSWER);
    }

    @Test
    void closesTheConnectionOfAnUnreadableAnswer() throws Exception {
      calls.start(modelCall(OptionalLong.empty()));
      HttpExchange exchange = server.awaitRequest();
      CountDownLatch disconnected = new CountDownLatch(1);
      exchange.onCallerDisconnect(disconnected::countDown);
      exchange.startStream(200, Map.of()).write(bytes("data: nonsense\n\n"));
      assertFailed(AttemptFailure.LOST_MID_ANSWER);
      disconnected.await();
    }

    @Test
    void cancelsAndReportsTheUsage() throws Exception {
      calls.start(modelCall(OptionalLong.empty()));
      HttpExchange running = server.awaitRequest();
      CountDownLatch disconnected = new CountDownLatch(1);
      running.onCallerDisconnect(disconnected::countDown);
      calls.cancel(new InstanceCommand.CancelAttempt(ATTEMPT, REQUEST, server.address()));
      disconnected.await();
      HttpExchange delete = server.awaitRequest();
      assertEquals("DELETE /v1/requests/req%2F1", delete.method() + " " + delete.path());
      delete.respond(
          200,
          Map.of(),
          bytes(
              "{\"state\":\"cancelled\",\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}"));
      assertEquals(
          new InstanceEvent.UsageReported(ATTEMPT, Optional.of(new Usage(3, 1))),
          nextEvent(InstanceEvent.UsageReported.class));
      assertFalse(events.stream().anyMatch(InstanceEvent.AttemptFailed.class::isInstance));
    }

    @Test
    void reportsNoUsageForARequestThatIsStillRunning() throws Exception {
      // Guards against a charge that is too low: the tokens used so far are fewer than those that
      // the request will have used in the end.
      calls.queryUsage(new InstanceCommand.QueryUsage(ATTEMPT, REQUEST, server.address()));
      server
          .awaitRequest()
          .respond(
              200,
              Map.of(),
              bytes(
                  "{\"state\":\"running\",\"usage\":{\"prompt_tokens\":3,"
                      + "\"completion_tokens\":1}}"));
      nextEvent(InstanceEvent.UsageQueryFailed.class);
      calls.queryUsage(new InstanceCommand.QueryUsage(ATTEMPT, REQUEST, server.address()));
      server.awaitRequest().respond(404, Map.of(), new byte[0]);
      assertEquals(
          new InstanceEvent.UsageReported(ATTEMPT, Optional.empty()),
          nextEvent(InstanceEvent.UsageReported.class));
    }

    private void assertAnswerMeans(int status, AttemptFailure expected) throws Exception {
      calls.start(modelCall(OptionalLong.empty()));
      server.awaitRequest().respond(status, Map.of(), bytes("why"));
      assertFailed(expected);
    }
  }

  @Nested
  class AtAPlainService {
    @Test
    void reportsTheCompleteAnswer() throws Exception {
      calls.start(plainCall());
      HttpExchange exchange = server.awaitRequest();
      assertEquals("PUT /x?y=1 in", "PUT " + exchange.path() + " " + text(exchange.body()));
      assertEquals(Optional.of("text/plain"), exchange.header("Content-Type"));
      exchange.respond(418, Map.of("Content-Type", "text/css"), bytes("out"));
      var answer = nextEvent(InstanceEvent.PlainAnswerReceived.class);
      assertEquals(418, answer.status());
      assertEquals("text/css", answer.contentType());
      assertArrayEquals(bytes("out"), answer.body());
    }

    @Test
    void reportsARefusalOnlyIfTheServiceSaysThatTheCallWasNotRun() throws Exception {
      // Guards against a call that runs twice: a service may have run a call before it answers it
      // with 503, unless the header Not-Run says otherwise.
      calls.start(plainCall());
      server.awaitRequest().respond(503, Map.of("Not-Run", "true"), new byte[0]);
      assertFailed(AttemptFailure.REFUSED_BY_SERVER);
      calls.start(plainCall());
      server.awaitRequest().respond(503, Map.of(), new byte[0]);
      assertEquals(503, nextEvent(InstanceEvent.PlainAnswerReceived.class).status());
    }

    @Test
    void reportsAnAnswerBeyondTheSizeLimitAsBroken() throws Exception {
      calls.start(plainCall());
      server.awaitRequest().respond(200, Map.of(), new byte[101]);
      assertFailed(AttemptFailure.LOST_MID_ANSWER);
    }

    @Test
    void isNeverSentTheDeleteMeantForEngines() throws Exception {
      // Guards against a cancellation that changes data: to a plain service, the DELETE that
      // cancels a request at an engine could mean something else.
      calls.start(plainCall());
      HttpExchange running = server.awaitRequest();
      CountDownLatch disconnected = new CountDownLatch(1);
      running.onCallerDisconnect(disconnected::countDown);
      calls.cancel(new InstanceCommand.CancelAttempt(ATTEMPT, REQUEST, server.address()));
      calls.queryUsage(new InstanceCommand.QueryUsage(ATTEMPT, REQUEST, server.address()));
      disconnected.await();
      nextEvent(InstanceEvent.UsageQueryFailed.class);
      assertFalse(server.hasRequest());
    }
  }

  @Nested
  class WithAnswersThatAreBrokenOff {
    private final List<String> violations = new ArrayList<>();

    /** An engine's answer that ends before its usage must not be reported as finished. */
    @ParameterizedTest
    @EnumSource
    void failAtAnEngine(AnswerFraming framing) throws Exception {
      byte[] frame = FakeBackendServer.frame("r-1.x-7", 0, "a");
      byte[] usage = FakeBackendServer.usage("r-1.x-7", 1, 3, 4);
      byte[] answer = framing.encode(200, Map.of(), frame, usage);
      int usageEnd = text(answer).indexOf("data: [DONE]");
      for (int bytes = 0; bytes < answer.length; bytes++) {
        breakOff(modelCall(OptionalLong.empty()), answer, bytes);
        boolean finished = nextFinalEvent() instanceof InstanceEvent.StreamFinished;
        // With a length, the part is handed on before the answer is known to be cut.
        check(bytes >= usageEnd || !finished, "%s, %d bytes", framing, bytes);
      }
      breakOff(modelCall(OptionalLong.empty()), answer, answer.length);
      assertInstanceOf(InstanceEvent.StreamFinished.class, nextFinalEvent());
      assertEquals(List.of(), violations);
    }

    /** A service's answer that ends before its framing says so must not be passed on. */
    @ParameterizedTest
    @EnumSource
    void failAtAPlainService(AnswerFraming framing) throws Exception {
      byte[] head = framing.head(200, Map.of(), 3);
      byte[] answer = framing.encode(200, Map.of(), bytes("out"));
      for (int bytes = 0; bytes < answer.length; bytes++) {
        boolean ended = framing.endsWithConnection() && bytes >= head.length;
        breakOff(plainCall(), answer, bytes);
        boolean received = nextFinalEvent() instanceof InstanceEvent.PlainAnswerReceived;
        check(received == ended, "%s, %d bytes", framing, bytes);
      }
      assertEquals(List.of(), violations);
    }

    /**
     * A service's stream of events that ends inside an event was broken off, whatever its framing
     * says. It must not be passed on as a complete answer.
     */
    @ParameterizedTest
    @EnumSource
    void failIfAStreamEndsInsideAnEvent(AnswerFraming framing) throws Exception {
      Map<String, String> type = Map.of("content-type", "text/event-stream; charset=utf-8");
      String events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
      for (int length = 0; length <= events.length(); length++) {
        String sent = events.substring(0, length);
        boolean ended = sent.endsWith("\n\n") || sent.endsWith("\r\n\r\n");
        boolean empty = sent.isEmpty() && !framing.endsWithConnection();
        byte[] answer = framing.encode(200, type, bytes(sent));
        breakOff(plainCall(), answer, answer.length);
        boolean received = nextFinalEvent() instanceof InstanceEvent.PlainAnswerReceived;
        check(received == (ended || empty), "%s, %d bytes", framing, length);
      }
      assertEquals(List.of(), violations);
    }

    private void breakOff(InstanceCommand.StartAttempt command, byte[] answer, int bytes)
        throws Exception {
      calls.start(command);
      EncodedAnswer encoded = server.awaitRequest().startEncoded();
      encoded.write(Arrays.copyOf(answer, bytes));
      encoded.close();
    }

    private InstanceEvent nextFinalEvent() throws InterruptedException {
      InstanceEvent event = events.poll(20, TimeUnit.SECONDS);
      while (event instanceof InstanceEvent.FrameReceived) {
        event = events.poll(20, TimeUnit.SECONDS);
      }
      return Objects.requireNonNull(event, "no final event");
    }

    private void check(boolean holds, String format, Object... arguments) {
      if (!holds) {
        violations.add(format.formatted(arguments));
      }
    }
  }

  private InstanceCommand.StartAttempt modelCall(OptionalLong resumeFrom) {
    return start(
        new Payload.ModelCall(bytes("{\"stream\":true}"), 10, OptionalLong.empty(), true),
        resumeFrom);
  }

  private InstanceCommand.StartAttempt plainCall() {
    return start(
        new Payload.PlainCall("PUT", "/x?y=1", "text/plain", bytes("in")), OptionalLong.empty());
  }

  private InstanceCommand.StartAttempt start(Payload payload, OptionalLong resumeFrom) {
    return new InstanceCommand.StartAttempt(
        ATTEMPT,
        REQUEST,
        new BackendServerId("e1"),
        server.address(),
        payload,
        "m",
        5,
        2,
        resumeFrom);
  }

  private void assertFailed(AttemptFailure expected) throws InterruptedException {
    var failed = nextEvent(InstanceEvent.AttemptFailed.class);
    assertEquals(expected, failed.failure(), failed::detail);
    assertEquals(ATTEMPT, failed.attempt());
  }

  private <T extends InstanceEvent> T nextEvent(Class<T> type) throws InterruptedException {
    InstanceEvent event = events.poll(20, TimeUnit.SECONDS);
    if (!type.isInstance(event)) {
      throw new AssertionError("was %s, expected %s".formatted(event, type.getSimpleName()));
    }
    return type.cast(event);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.UTF_8);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
