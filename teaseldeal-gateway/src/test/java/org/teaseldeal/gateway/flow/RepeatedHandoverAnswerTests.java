package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseldeal.decisions.HandoverPolicy;
import org.teaseldeal.gateway.fake.FakeDialect;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.gateway.fake.ScriptedPeer;
import org.teaseldeal.gateway.fake.ScriptedPeer.Received;
import org.teaseldeal.gateway.handover.RequestHandover;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.ResponseStream;

/** Tests of an instance that sends the answer to a request that it took twice. */
@Timeout(60)
class RepeatedHandoverAnswerTests {
  private static final String CALL_LINE = "teaseldeal-handover-call: CALL\r\n";
  private static final String CHUNKED_BODY =
      "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

  private static final String OWN_ANSWER =
      "HTTP/1.1 500 Failed\r\n"
          + CALL_LINE
          + "teaseldeal-handover: COMPLETE\r\ncontent-length: 3\r\n\r\nown";

  /** The first answer on a connection, which the other instance sends once more. */
  private enum First {
    COMPLETE(200, CALL_LINE + "teaseldeal-handover: COMPLETE\r\n"),
    STREAM(200, CALL_LINE + "teaseldeal-handover: STREAM\r\n"),
    NOT_TAKEN(503, CALL_LINE + "teaseldeal-handover: NOT_TAKEN\r\n"),
    REPEATED(409, CALL_LINE + "teaseldeal-handover: REPEATED\r\n"),
    COMPLETE_OF_EARLIER_RELEASE(200, "teaseldeal-handover: COMPLETE\r\n"),
    NOT_TAKEN_BY_EARLIER_RELEASE(503, "teaseldeal-handover: NOT_TAKEN\r\n"),
    ANSWER_WITHOUT_RESULT(404, "");

    private final String text;

    First(int status, String headers) {
      text = "HTTP/1.1 %d Status\r\n%s%s".formatted(status, headers, CHUNKED_BODY);
    }
  }

  private final GatewayFixture gateway = new GatewayFixture();
  private final HandoverPolicy policy = new HandoverPolicy(new Random(1));
  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private volatile ScriptedPeer.Script script = request -> "";
  private ScriptedPeer sibling;
  private RequestHandover handover;

  @BeforeEach
  void start() throws IOException {
    sibling = new ScriptedPeer(request -> script.answer(request));
    gateway.list("i-1", "10.0.0.1:80", Instant.EPOCH);
    handover =
        new RequestHandover(
            "instance-1",
            gateway.dispatcher,
            client::send,
            () -> List.of(sibling.address()),
            () -> true,
            () -> Duration.ofMillis(500),
            () -> gateway.plan,
            policy,
            gateway.events::add,
            gateway.clock);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    sibling.close();
  }

  /**
   * Guards against the second copy of an answer being taken for the answer to the next request on
   * its connection, or for the proof that this one was not taken.
   */
  @ParameterizedTest
  @EnumSource
  void isNotTakenForTheNextAnswer(First first) throws Exception {
    script =
        ScriptedPeer.repeatingFirst(
            request -> answer(first.text, request), request -> answer(OWN_ANSWER, request));
    call();
    assertEquals("500 own", call());
  }

  /** Guards against an answer that has lost its length, and was cut, being passed on as whole. */
  @Test
  void isNotCompleteIfNothingMarksItsEnd() throws Exception {
    sibling.closeAfterEachAnswer();
    script =
        request ->
            answer(
                "HTTP/1.1 200 OK\r\n" + CALL_LINE + "teaseldeal-handover: COMPLETE\r\n\r\nhalf of",
                request);
    assertEquals("502 ", call());
  }

  /** Guards against a second run of a request whose taker failed after it had sent it. */
  @Test
  void provesNothingIfTheTakerFailed() throws Exception {
    script = request -> "HTTP/1.1 500 Failed\r\ncontent-length: 0\r\n\r\n";
    assertEquals("502 ", call());
  }

  private static String answer(String text, Received request) {
    return text.replace("CALL", request.header("teaseldeal-handover-call"));
  }

  /**
   * Sends a caller's request that is handed over, and returns the status and body of its answer.
   */
  private String call() throws Exception {
    policy.onWilling(sibling.address(), gateway.clock.instant());
    int sentBefore = gateway.sent.size();
    Caller caller = new Caller();
    handover.handle(caller);
    while (caller.ends.isEmpty() && gateway.sent.size() == sentBefore) {
      Thread.sleep(1);
    }
    return gateway.sent.size() == sentBefore ? caller.ends.take() : "served here";
  }

  /** A caller that reports its whole answer. */
  private static final class Caller extends FakeExchange {
    private final LinkedBlockingQueue<String> ends = new LinkedBlockingQueue<>();

    Caller() {
      super(GatewayFixture.ONCE_PATH);
    }

    @Override
    public Optional<String> header(String name) {
      return name.equals("host") ? Optional.of(FakeDialect.HOST) : super.header(name);
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
      ends.add(status + " " + new String(body, StandardCharsets.UTF_8));
    }

    @Override
    public ResponseStream startStream(int status, Map<String, String> headers) {
      ResponseStream stream = super.startStream(status, headers);
      return new ResponseStream() {
        @Override
        public void write(byte[] part) {
          stream.write(part);
        }

        @Override
        public long pendingBytes() {
          return 0;
        }

        @Override
        public void finish() {
          ends.add(status + " " + new String(answer(), StandardCharsets.UTF_8));
        }

        @Override
        public void abort() {
          ends.add("aborted");
        }
      };
    }
  }
}
