package org.teaseldeal.router;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.BearerToken;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.router.fake.Await;
import org.teaseldeal.router.fake.FakeInstance;
import org.teaseldeal.router.fake.RawConnection;
import org.teaseldeal.router.fake.RouterFixture;

/**
 * Tests the answers that callers receive, byte by byte, for the commands that an instance issues.
 *
 * <p>A fake instance issues the commands, so that the tests cover the router's HTTP interface
 * alone.
 */
@Timeout(30)
class CallerAnswersTests {
  private static final RequestId REQUEST = new RequestId("r1.x-1");
  private static final String BODY =
      "{\"model\":\"a/b\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";
  private static final String STREAMED_BODY = BODY.replace("}]}", "}],\"stream\":true}");

  private final FakeInstance instance = new FakeInstance();
  private final Router router =
      Router.start(
          RouterFixture.settings("127.0.0.1:1", Optional.empty()),
          new IncarnationId("r1.x"),
          peerAddress -> instance,
          InstantSource.system(),
          new Random(1));

  CallerAnswersTests() throws IOException {}

  @AfterEach
  void close() {
    router.close();
  }

  @Nested
  class Requests {
    @Test
    void passHeadersAndPayloadToTheInstance() throws Exception {
      try (RawConnection caller = connect()) {
        caller.send(
            post(
                "/v1/chat/completions",
                "Authorization: bearer secret\r\nIdempotency-Key: k\r\nRequest-Timeout-Ms: 1500\r\n",
                STREAMED_BODY));
        var request = instance.awaitEvent(InstanceEvent.CallerRequest.class);
        assertEquals(Optional.of(new BearerToken("secret")), request.token());
        assertEquals("a/b", request.service());
        assertEquals(Optional.of("k"), request.idempotencyKey());
        assertTrue(request.timeout().orElseThrow().compareTo(Duration.ofMillis(1500)) <= 0);
        assertTrue(assertInstanceOf(Payload.ModelCall.class, request.payload()).stream());
      }
    }

    @Test
    void ofPlainServicesKeepPathAndQuery() throws Exception {
      try (RawConnection caller = connect()) {
        caller.send(post("/services/team/desk/a/b?c=d", "Content-Type: text/plain\r\n", "x"));
        var request = instance.awaitEvent(InstanceEvent.CallerRequest.class);
        assertEquals("team/desk", request.service());
        var call = assertInstanceOf(Payload.PlainCall.class, request.payload());
        assertEquals(
            "POST /a/b?c=d text/plain x",
            "%s %s %s %s"
                .formatted(
                    call.method(),
                    call.path(),
                    call.contentType(),
                    new String(call.body(), StandardCharsets.UTF_8)));
      }
    }

    @Test
    void areReportedAsDisconnectedWhenTheCallerDisconnects() throws Exception {
      CallId call;
      try (RawConnection caller = connect()) {
        call = sendChat(caller, BODY);
      }
      assertEquals(call, instance.awaitEvent(InstanceEvent.CallerDisconnected.class).call());
    }
  }

  @Nested
  class Answers {
    @Test
    void areStreamedAsServerSentEvents() throws Exception {
      try (RawConnection caller = connect()) {
        CallId call = sendChat(caller, STREAMED_BODY);
        sendFrame(call, "{\"n\":0}");
        sendFrame(call, "{\"n\":\n1}");
        instance.issue(new InstanceCommand.FinishStream(call, REQUEST, new Usage(3, 4)));
        String answer = caller.readUntil("0\r\n\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
        assertTrue(answer.contains("Content-Type: text/event-stream\r\n"), answer);
        assertTrue(answer.contains("Request-Id: r1.x-1\r\n"), answer);
        assertEquals(
            """
            data: {"n":0}

            data: {"n":
            data: 1}

            data: {"id":"r1.x-1","object":"chat.completion.chunk","choices":[],\
            "usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}

            data: [DONE]

            """,
            withoutChunks(answer));
      }
    }

    @Test
    void areAggregatedIntoOneJsonObject() throws Exception {
      try (RawConnection caller = connect()) {
        CallId call = sendChat(caller, BODY);
        sendFrame(
            call,
            "{\"id\":\"e\",\"created\":5,\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":"
                + "{\"role\":\"assistant\",\"content\":\"Hel\"}}]}");
        sendFrame(
            call,
            "{\"choices\":[{\"index\":0,\"delta\":{\"content\":\"lo\",\"tool_calls\":[{\"index\":0,"
                + "\"id\":\"t\",\"function\":{\"name\":\"f\",\"arguments\":\"{\"}}]}}]}");
        sendFrame(
            call,
            "{\"choices\":[{\"index\":0,\"delta\":{\"tool_calls\":[{\"index\":0,"
                + "\"function\":{\"arguments\":\"}\"}}]},\"finish_reason\":\"stop\"}]}");
        instance.issue(new InstanceCommand.FinishStream(call, REQUEST, new Usage(3, 4)));
        assertEquals(
            """
            {"id":"r1.x-1","object":"chat.completion","created":5,"model":"m","choices":\
            [{"index":0,"message":{"role":"assistant","content":"Hello","tool_calls":[{"index":0,\
            "id":"t","function":{"name":"f","arguments":"{}"}}]},"finish_reason":"stop"}],\
            "usage":{"prompt_tokens":3,"completion_tokens":4,"total_tokens":7}}""",
            body(caller.readUntil("\"total_tokens\":7}}")));
      }
    }

    @Test
    void ofPlainServicesAreForwardedUnchanged() throws Exception {
      try (RawConnection caller = connect()) {
        caller.send(post("/services/team/desk", "", "x"));
        CallId call = instance.awaitEvent(InstanceEvent.CallerRequest.class).call();
        instance.issue(
            new InstanceCommand.AnswerPlain(
                call, REQUEST, 418, "text/css", "tea".getBytes(StandardCharsets.UTF_8)));
        String answer = caller.readUntil("tea");
        assertTrue(answer.startsWith("HTTP/1.1 418 "), answer);
        assertTrue(answer.contains("Content-Type: text/css\r\n"), answer);
      }
    }

    @Test
    void thatAreRefusedStateTheReasonAndTheRetryAfterTime() throws Exception {
      try (RawConnection caller = connect()) {
        CallId call = sendChat(caller, BODY);
        instance.issue(
            new InstanceCommand.RefuseCall(
                call,
                REQUEST,
                Problem.retryable(ErrorKind.OVERLOADED, "why", Duration.ofMillis(1200))));
        String answer = caller.readUntil("}");
        assertTrue(answer.startsWith("HTTP/1.1 429 Too Many Requests\r\n"), answer);
        assertTrue(answer.contains("Retry-After: 2\r\n"), answer);
        assertTrue(answer.contains("Content-Type: application/problem+json\r\n"), answer);
        assertEquals(
            """
            {"type":"urn:teaseldeal:error:overloaded",\
            "title":"There is more work than the service can take now","status":429,\
            "detail":"why","run":"not-run","request_id":"r1.x-1","retry_after_ms":1200}""",
            body(answer));
      }
    }

    @Test
    void thatBreakMidStreamEndWithAnErrorEvent() throws Exception {
      // Guards against a truncated answer that looks complete. The engine is lost after the caller
      // has received a frame. The caller gets an error event, and the connection ends without the
      // last chunk, so that neither a parser of events nor a plain HTTP client takes the part that
      // it has received for the whole answer.
      try (RawConnection caller = connect()) {
        CallId call = sendChat(caller, STREAMED_BODY);
        sendFrame(call, "{}");
        instance.issue(
            new InstanceCommand.AbortStream(
                call, REQUEST, Problem.of(ErrorKind.STREAM_BROKEN, "lost")));
        String answer = caller.readToEnd();
        assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        assertEquals(
            """
            data: {}

            event: error
            data: {"type":"urn:teaseldeal:error:stream-broken",\
            "title":"The answer broke off and could not be resumed","status":502,\
            "detail":"lost","run":"ran","request_id":"r1.x-1"}

            """,
            withoutChunks(answer));
      }
    }

    @Test
    void thatCannotBeAggregatedEndAsErrors() throws Exception {
      try (RawConnection caller = connect()) {
        CallId call = sendChat(caller, BODY);
        sendFrame(call, "no JSON");
        assertTrue(caller.readUntil("}").contains(":error:internal"));
        assertEquals(call, instance.awaitEvent(InstanceEvent.CallerDisconnected.class).call());
      }
    }

    @Test
    void areAbortedForCallersThatDoNotReadThem() throws Exception {
      // Guards against unbounded memory for a caller that reads nothing while its answer grows.
      // Once the unread part exceeds the limit, the connection is closed and the instance is
      // notified that the caller is gone.
      try (RawConnection caller = connect()) {
        CallId call = sendChat(caller, STREAMED_BODY);
        String frame = "{\"x\":\"" + "x".repeat(32 << 10) + "\"}";
        while (!instance.hasEvent(InstanceEvent.CallerDisconnected.class)) {
          sendFrame(call, frame);
          Thread.sleep(1);
        }
        assertEquals(call, instance.awaitEvent(InstanceEvent.CallerDisconnected.class).call());
        assertFalse(caller.readToEnd().endsWith("0\r\n\r\n"));
      }
    }
  }

  @Nested
  class Rejections {
    @Test
    void ofMalformedBodies() throws Exception {
      assertProblem(
          post("/v1/chat/completions", "", "{\"model\""),
          """
          {"type":"urn:teaseldeal:error:malformed-request","title":"The request is malformed",\
          "status":400,"detail":"the body is not JSON within the bounds, at line 1, column 9",\
          "run":"not-run"}""");
    }

    @Test
    void ofWrongHeaders() throws Exception {
      assertProblem(
          post("/v1/chat/completions", "Request-Timeout-Ms: soon\r\n", BODY),
          """
          {"type":"urn:teaseldeal:error:malformed-request","title":"The request is malformed",\
          "status":400,\
          "detail":"Request-Timeout-Ms was not a whole number from 1 to 999999999",\
          "run":"not-run"}""");
    }

    @Test
    void ofLargeBodies() throws Exception {
      assertProblem(
          post("/v1/chat/completions", "", "x".repeat(2049)),
          """
          {"type":"urn:teaseldeal:error:body-too-large",\
          "title":"The body is larger than allowed","status":413,\
          "detail":"the body exceeds the limit","run":"not-run"}""");
    }

    @Test
    void ofLargeHeaders() throws Exception {
      assertProblem(
          post("/v1/chat/completions", "X: " + "x".repeat(1025) + "\r\n", BODY),
          """
          {"type":"urn:teaseldeal:error:headers-too-large",\
          "title":"The headers are larger than allowed","status":431,\
          "detail":"request line or headers exceed the limit","run":"not-run"}""");
    }

    @Test
    void ofTruncatedChunkedBodies() throws Exception {
      try (RawConnection caller = connect()) {
        caller
            .send(
                "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + "5\r\n{\"mod\r\n")
            .shutdownOutput();
        assertSlowSender(caller.readToEnd());
      }
    }

    @Test
    void ofSlowSenders() throws Exception {
      try (RawConnection caller = connect()) {
        caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{");
        assertSlowSender(caller.readToEnd());
      }
    }

    @Test
    void ofUnsupportedMethods() throws Exception {
      assertProblem(
          "GET /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n",
          """
          {"type":"urn:teaseldeal:error:method-not-allowed",\
          "title":"The method is not served here","status":405,\
          "detail":"the method was GET, expected POST","run":"not-run"}""");
    }

    @Test
    void ofUnsupportedMethodsNameTheAllowedOnes() throws Exception {
      try (RawConnection caller = connect()) {
        String answer =
            caller.send("PUT /v1/chat/completions HTTP/1.1\r\nHost: x\r\n\r\n").readUntil("}");
        assertTrue(answer.contains("Allow: POST\r\n"), answer);
      }
    }

    @Test
    void ofUnknownPaths() throws Exception {
      assertProblem(
          "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n",
          """
          {"type":"urn:teaseldeal:error:unknown-service","title":"No such service","status":404,\
          "detail":"nothing is served at this path","run":"not-run"}""");
    }

    private void assertSlowSender(String answer) {
      assertTrue(answer.startsWith("HTTP/1.1 408 Request Timeout\r\n"), answer);
      assertEquals(
          """
          {"type":"urn:teaseldeal:error:slow-sender",\
          "title":"The request did not arrive in time","status":408,\
          "detail":"the request broke off or was not whole within the time","run":"not-run"}""",
          body(answer));
    }

    private void assertProblem(String request, String expected) throws Exception {
      try (RawConnection caller = connect()) {
        assertEquals(expected, body(caller.send(request).readUntil("}")));
        assertFalse(instance.hasEvent(InstanceEvent.CallerRequest.class));
      }
    }
  }

  @Nested
  class Draining {
    @Test
    void waitsForTheInstanceAndForTheLastAnswerToBeWritten() throws Exception {
      // Guards against a truncated answer at the end of a drain, when a caller reads its answer
      // slowly. The instance stops as soon as it has handed over its answers; the router must not
      // close before they are written to their connections.
      try (RawConnection caller = connect()) {
        CallId call = sendChat(caller, STREAMED_BODY);
        Thread drain = Thread.ofVirtual().start(this::drain);
        instance.awaitEvent(InstanceEvent.DrainRequested.class);
        String frame = "{\"x\":\"" + "x".repeat(60 << 10) + "\"}";
        sendFrame(call, frame);
        instance.issue(new InstanceCommand.FinishStream(call, REQUEST, new Usage(1, 1)));
        instance.issue(new InstanceCommand.Stop());
        String answer = caller.readUntil("0\r\n\r\n");
        assertTrue(answer.contains(frame));
        drain.join();
        assertTrue(drainedCompletely);
      }
    }

    /**
     * Guards against a caller that receives no answer at all: its connection was accepted just
     * before the router stopped listening, and was closed before its request was read.
     */
    @Test
    void answersTheFirstRequestOfAnAcceptedConnection() throws Exception {
      try (RawConnection caller = connect()) {
        Thread drain = Thread.ofVirtual().start(this::drain);
        instance.awaitEvent(InstanceEvent.DrainRequested.class);
        instance.issue(new InstanceCommand.Stop());
        Await.until(this::refusesConnections);
        sendChat(caller, STREAMED_BODY);
        drain.interrupt();
      }
    }

    private boolean refusesConnections() {
      try (RawConnection probe = connect()) {
        return false;
      } catch (IOException e) {
        return true;
      }
    }

    private boolean drainedCompletely;

    private void drain() {
      try {
        drainedCompletely = router.drainAndClose();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Test
  void reportsReadyOnlyWhileTheInstanceIsReady() throws Exception {
    Await.until(() -> adminStatus("/ready").equals("HTTP/1.1 200 OK"));
    instance.setReady(false);
    Await.until(() -> adminStatus("/ready").equals("HTTP/1.1 503 Service Unavailable"));
  }

  private String adminStatus(String path) {
    try (RawConnection operator = new RawConnection(router.adminAddress())) {
      operator.send("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      return operator.readToEnd().lines().findFirst().orElse("");
    } catch (IOException e) {
      return e.toString();
    }
  }

  private RawConnection connect() throws IOException {
    return new RawConnection(router.callerAddress());
  }

  private CallId sendChat(RawConnection caller, String body) throws Exception {
    caller.send(post("/v1/chat/completions", "", body));
    return instance.awaitEvent(InstanceEvent.CallerRequest.class).call();
  }

  private void sendFrame(CallId call, String data) {
    instance.issue(
        new InstanceCommand.SendFrame(call, REQUEST, data.getBytes(StandardCharsets.UTF_8)));
  }

  private static String post(String path, String headers, String body) {
    return "POST %s HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s"
        .formatted(path, headers, body.length(), body);
  }

  private static String body(String answer) {
    return answer.substring(answer.indexOf("\r\n\r\n") + 4);
  }

  private static String withoutChunks(String answer) {
    return body(answer).replaceAll("(?m)^[0-9a-f]+\r\n", "").replace("\r\n", "");
  }
}
