package org.teaseldeal.gateway.path;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseldeal.gateway.fake.CuttingProxy;
import org.teaseldeal.gateway.fake.CuttingProxy.Cut;
import org.teaseldeal.gateway.path.RelayMessages.Result;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpCall;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.net.HttpListener;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.net.SharedEventLoops;

/** Tests of answers that are cut at each byte on their way to a relay, or from it. */
@Timeout(60)
class CutRelayedAnswerTests {
  static {
    System.setProperty(SharedEventLoops.THREADS_PROPERTY, "1");
  }

  private static final String HEAD = "head";
  private static final String END = "end";

  /** The end of a call whose request provably did not reach the server. */
  private static final String NOT_SENT = HttpFailure.NOT_SENT.name();

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** The server's address is that of the listing. */
  private static final HttpCallRequest REQUEST =
      new HttpCallRequest("127.0.0.1:1", "POST", "/bid/1", Map.of(), new byte[3], TIMEOUT);

  /** A link on which answers are cut. */
  private enum Link {
    SERVER_TO_RELAY,
    RELAY_TO_INSTANCE
  }

  /** How the backend server answers. */
  private enum Answer implements HttpHandler {
    LENGTH {
      @Override
      public void handle(HttpExchange exchange) {
        exchange.respond(200, Map.of("reply", "a"), "whole".getBytes(StandardCharsets.US_ASCII));
      }
    },
    CHUNKS {
      @Override
      public void handle(HttpExchange exchange) {
        ResponseStream stream = exchange.startStream(200, Map.of("reply", "a"));
        stream.write("who".getBytes(StandardCharsets.US_ASCII));
        stream.write("le".getBytes(StandardCharsets.US_ASCII));
        stream.finish();
      }
    },
    NO_BODY {
      @Override
      public void handle(HttpExchange exchange) {
        exchange.respond(204, Map.of("reply", "a"), new byte[0]);
      }
    }
  }

  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private final AtomicInteger statementsRead = new AtomicInteger();
  private final LinkedBlockingQueue<String> outcomes = new LinkedBlockingQueue<>();
  private volatile HttpHandler serverHandler = Answer.LENGTH;
  private volatile HttpHandler relayHandler = HttpExchange::abort;
  private HttpServer server;
  private HttpServer relay;
  private CuttingProxy toServer;
  private CuttingProxy toRelay;
  private RelayFixture fixture;
  private ServerLinks links;

  @BeforeEach
  void start() throws IOException {
    server = start(exchange -> serverHandler.handle(exchange));
    toServer = new CuttingProxy(server.address());
    relay = start(exchange -> relayHandler.handle(exchange));
    toRelay = new CuttingProxy(relay.address());
    fixture = new RelayFixture(toServer.address());
    relayHandler =
        new RequestRelay(
            newLinks("instance-1", client::send, List.of(), client::send),
            fixture.servers,
            (sent, got) -> AnswerMatch.THIS_CALL);
    links = newLinks("instance-2", client::send, List.of(toRelay.address()), client::send);
    links.tick();
  }

  private static HttpServer start(HttpHandler handler) throws IOException {
    return HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), handler);
  }

  private ServerLinks newLinks(
      String instance, BackendPort direct, List<String> peers, BackendPort probes) {
    return fixture.newLinks(
        instance,
        direct,
        client::send,
        peers,
        probes,
        (answering, status, headers) -> {
          statementsRead.incrementAndGet();
          return ServerStatements.NONE;
        });
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    toRelay.close();
    toServer.close();
    relay.close();
    server.close();
  }

  /**
   * Guards against an answer that is cut on its way through a relay being reported as complete, or
   * as proof that the request was not sent.
   */
  @ParameterizedTest
  @EnumSource
  void areNotComplete(Answer answer) throws Exception {
    serverHandler = answer;
    for (Link link : Link.values()) {
      CuttingProxy cut = proxy(link);
      assertEquals(END, sendThroughRelay(Cut.NONE, cut).getLast());
      long wholeBytes = cut.answerBytes();
      for (long bytes = 0; bytes < wholeBytes; bytes++) {
        String end = sendThroughRelay(new Cut(bytes, bytes % 2 == 0), cut).getLast();
        assertTrue(end.endsWith("_ANSWER"), end + " after " + bytes + " bytes, " + link);
      }
    }
  }

  /**
   * Guards against a request that may have run being sent again, because the head of a relay's
   * answer that says that nothing was sent is cut.
   */
  @ParameterizedTest
  @EnumSource(
      value = Result.class,
      names = {"REFUSED", "NOT_LISTED", "NO_ROOM", "UNREACHABLE"})
  void proveNothingWhileTheHeadOfARefusalIsCut(Result result) throws Exception {
    byte[] detail = "why".getBytes(StandardCharsets.US_ASCII);
    relayHandler =
        exchange -> exchange.respond(503, Map.of(RelayMessages.RESULT, result.name()), detail);
    assertEquals(NOT_SENT, sendThroughRelay(Cut.NONE, toRelay).getLast());
    long headBytes = toRelay.answerBytes() - detail.length;
    for (long bytes = 0; bytes < headBytes; bytes++) {
      List<String> events = sendThroughRelay(new Cut(bytes, bytes % 2 == 0), toRelay);
      assertEquals(List.of(HttpFailure.NO_ANSWER.name()), events, bytes + " bytes");
    }
  }

  /**
   * Guards against a server that closes inside its answer's head counting as reached by a probe, or
   * its half head being read for what it says about the server.
   */
  @Test
  void areNoAnswersToProbes() throws Exception {
    assertTrue(probe(Cut.NONE));
    long headBytes = toServer.answerBytes() - "whole".length();
    int readBefore = statementsRead.get();
    assertTrue(readBefore > 0);
    for (long bytes = 0; bytes < headBytes; bytes++) {
      for (boolean reset : new boolean[] {false, true}) {
        assertFalse(probe(new Cut(bytes, reset)), "reached after " + bytes + " bytes");
      }
    }
    assertEquals(readBefore, statementsRead.get());
  }

  /** Probes a lost path, and returns whether it is regained. */
  private boolean probe(Cut cut) throws Exception {
    LinkedBlockingQueue<Boolean> answered = new LinkedBlockingQueue<>();
    ServerLinks probing =
        newLinks(
            "instance-3",
            CutRelayedAnswerTests::refuse,
            List.of(),
            (request, listener) -> client.send(request, new ReportingListener(listener, answered)));
    probing.tick();
    probing.sendDirectly(fixture.server(), REQUEST, new RecordingListener());
    assertEquals(NOT_SENT, outcomes.take());
    fixture.clock.advance(TIMEOUT);
    toServer.setCut(cut);
    client.closeIdle(toServer.address());
    assertTrue(probing.isLost(fixture.server()));
    probing.tick();
    answered.take();
    return !probing.isLost(fixture.server());
  }

  private static HttpCall refuse(HttpCallRequest request, HttpListener listener) {
    listener.onFailure(HttpFailure.NOT_SENT, "refused");
    return () -> {};
  }

  private CuttingProxy proxy(Link link) {
    return link == Link.SERVER_TO_RELAY ? toServer : toRelay;
  }

  /** Sends a request on new connections, and returns what is reported of its answer. */
  private List<String> sendThroughRelay(Cut cut, CuttingProxy proxy) throws Exception {
    toRelay.setCut(Cut.NONE);
    toServer.setCut(Cut.NONE);
    proxy.setCut(cut);
    client.closeIdle(toRelay.address());
    client.closeIdle(toServer.address());
    // A relay that failed is left out for some time.
    fixture.clock.advance(Duration.ofMinutes(1));
    links.sendThroughRelay(fixture.server(), REQUEST, new RecordingListener());
    List<String> events = new ArrayList<>();
    do {
      events.add(outcomes.take());
    } while (events.getLast().equals(HEAD));
    return events;
  }

  private final class RecordingListener implements HttpListener {
    @Override
    public void onHead(int status, Map<String, String> headers) {
      outcomes.add(HEAD);
    }

    @Override
    public void onBodyPart(byte[] part) {}

    @Override
    public void onEnd(AnswerEnd end) {
      outcomes.add(END);
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      outcomes.add(failure.name());
    }
  }

  /** Reports whether a call was answered, after its listener has been called. */
  private record ReportingListener(HttpListener listener, LinkedBlockingQueue<Boolean> answered)
      implements HttpListener {
    @Override
    public void onHead(int status, Map<String, String> headers) {
      listener.onHead(status, headers);
      answered.add(true);
    }

    @Override
    public void onBodyPart(byte[] part) {
      listener.onBodyPart(part);
    }

    @Override
    public void onEnd(AnswerEnd end) {
      listener.onEnd(end);
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      listener.onFailure(failure, detail);
      answered.add(false);
    }
  }
}
