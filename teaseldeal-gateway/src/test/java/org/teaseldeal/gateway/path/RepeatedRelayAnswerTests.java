package org.teaseldeal.gateway.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseldeal.gateway.fake.ScriptedPeer;
import org.teaseldeal.gateway.fake.ScriptedPeer.Received;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** Tests of relays that send an answer twice, or the answer to another request. */
@Timeout(60)
class RepeatedRelayAnswerTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** The header by which a backend server names the request that it answers. */
  private static final String REQUEST = "request";

  private static final String CALL_LINE = "teaseldeal-relay-call: CALL\r\n";
  private static final String ANSWER_LINES =
      "teaseldeal-relay-result: ANSWER\r\nteaseldeal-relay-end: LENGTH\r\n";
  private static final String CHUNKED_BODY =
      "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

  private static final String OWN_ANSWER =
      "HTTP/1.1 500 Failed\r\n" + CALL_LINE + ANSWER_LINES + "request: 2\r\n" + CHUNKED_BODY;

  private static final List<String> OWN_ANSWER_REPORTED = List.of("head 500", "end");

  /** The first answer on a connection, which the relay sends once more. */
  private enum First {
    SUCCESS(200, CALL_LINE + ANSWER_LINES + "request: 1\r\n"),
    UNNAMED_SUCCESS(200, CALL_LINE + ANSWER_LINES),
    REJECTION(503, CALL_LINE + ANSWER_LINES + "not-run: 1\r\nrequest: 1\r\n"),
    UNNAMED_REJECTION(503, CALL_LINE + ANSWER_LINES + "not-run: 1\r\n"),
    REFUSED(503, CALL_LINE + "teaseldeal-relay-result: REFUSED\r\n"),
    NOT_LISTED(503, CALL_LINE + "teaseldeal-relay-result: NOT_LISTED\r\n"),
    NO_ROOM(503, CALL_LINE + "teaseldeal-relay-result: NO_ROOM\r\n"),
    UNREACHABLE(503, CALL_LINE + "teaseldeal-relay-result: UNREACHABLE\r\n"),
    SUCCESS_OF_EARLIER_RELEASE(200, ANSWER_LINES + "request: 1\r\n"),
    REJECTION_OF_EARLIER_RELEASE(503, ANSWER_LINES + "not-run: 1\r\n"),
    REFUSED_BY_EARLIER_RELEASE(503, "teaseldeal-relay-result: REFUSED\r\n"),
    ANSWER_WITHOUT_RESULT(404, "");

    private final String text;

    First(int status, String headers) {
      text = "HTTP/1.1 %d Status\r\n%s%s".formatted(status, headers, CHUNKED_BODY);
    }
  }

  private final RelayFixture fixture = new RelayFixture("127.0.0.1:1");
  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private volatile ScriptedPeer.Script script = request -> "";
  private ScriptedPeer relay;
  private ServerLinks links;

  @BeforeEach
  void start() throws IOException {
    relay = new ScriptedPeer(request -> script.answer(request));
    links =
        fixture.newLinks(
            "instance-1",
            RepeatedRelayAnswerTests::refuse,
            client::send,
            List.of(relay.address()),
            RepeatedRelayAnswerTests::refuse,
            (answering, status, headers) -> ServerStatements.NONE);
    links.tick();
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    relay.close();
  }

  /**
   * Guards against a relay's second copy of an answer being taken for the answer to the next
   * request on its connection, or for the proof that this one was not sent.
   */
  @ParameterizedTest
  @EnumSource
  void areNotTakenForTheNextAnswer(First first) throws Exception {
    script =
        ScriptedPeer.repeatingFirst(
            request -> answer(first.text, request), request -> answer(OWN_ANSWER, request));
    call(1);
    assertEquals(OWN_ANSWER_REPORTED, call(2));
  }

  /** Guards against the answer to another request being passed on by a relay that mixes them up. */
  @Test
  void areNoAnswersIfTheyNameAnotherRequest() throws Exception {
    script = request -> answer(First.SUCCESS.text, request);
    assertEquals(List.of(HttpFailure.NO_ANSWER.name()), call(2));
  }

  /** Guards against a relay that failed after it had sent the request proving that it had not. */
  @Test
  void proveNothingIfTheRelayFailed() throws Exception {
    script = request -> "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";
    assertEquals(List.of(HttpFailure.NO_ANSWER.name()), call(2));
  }

  /** Guards against the late answer to a request that was given up reaching the next one. */
  @Test
  void areNotTakenForTheNextAnswerIfTheirRequestWasGivenUp() throws Exception {
    LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
    LinkedBlockingQueue<String> cancelled = new LinkedBlockingQueue<>();
    script =
        request -> {
          if (request.header(REQUEST).equals("1")) {
            received.add("1");
            cancelled.take();
            return answer(First.UNNAMED_SUCCESS.text, request);
          }
          return answer(OWN_ANSWER, request);
        };
    HttpCall given = links.sendThroughRelay(fixture.server(), request(1), new NumberedListener(1));
    received.take();
    given.cancel();
    cancelled.add("1");
    assertEquals(OWN_ANSWER_REPORTED, call(2));
  }

  /** Guards against an answer that has lost its chunks, and was cut, being passed on as whole. */
  @Test
  void areNotCompleteIfNothingMarksTheirEnd() throws Exception {
    relay.closeAfterEachAnswer();
    script =
        request ->
            answer(
                "HTTP/1.1 200 OK\r\n" + CALL_LINE + ANSWER_LINES + "request: 2\r\n\r\nhalf of",
                request);
    assertEquals(List.of("head 200", HttpFailure.BROKEN_ANSWER.name()), call(2));
  }

  private static String answer(String text, Received request) {
    return text.replace("CALL", request.header("teaseldeal-relay-call"));
  }

  private static HttpCall refuse(HttpCallRequest request, HttpListener listener) {
    listener.onFailure(HttpFailure.NOT_SENT, "refused");
    return () -> {};
  }

  private static HttpCallRequest request(int number) {
    return new HttpCallRequest(
        "127.0.0.1:1",
        "POST",
        "/bid/1",
        Map.of(REQUEST, Integer.toString(number)),
        new byte[0],
        TIMEOUT);
  }

  /** Sends a request through the relay, and returns what is reported of its answer. */
  private List<String> call(int number) throws Exception {
    // A relay that failed is left out for some time.
    fixture.clock.advance(Duration.ofMinutes(1));
    NumberedListener listener = new NumberedListener(number);
    links.sendThroughRelay(fixture.server(), request(number), listener);
    return listener.awaitEnd();
  }

  /** Matches answers by the number of their request. */
  private static final class NumberedListener extends OutcomeRecorder {
    private final int number;

    NumberedListener(int number) {
      this.number = number;
    }

    @Override
    public String callName() {
      return Integer.toString(number);
    }

    @Override
    public AnswerMatch match(int status, Map<String, String> headers) {
      return AnswerMatch.of(headers.get(REQUEST), Integer.toString(number));
    }
  }
}
