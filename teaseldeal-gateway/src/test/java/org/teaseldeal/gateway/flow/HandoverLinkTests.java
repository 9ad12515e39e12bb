package org.teaseldeal.gateway.flow;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseldeal.decisions.HandoverPolicy;
import org.teaseldeal.gateway.fake.CuttingProxy;
import org.teaseldeal.gateway.fake.CuttingProxy.Cut;
import org.teaseldeal.gateway.fake.FakeDialect;
import org.teaseldeal.gateway.handover.RequestHandover;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpFailureException;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.net.SharedEventLoops;

/** Tests requests that are handed over on real connections. */
class HandoverLinkTests {
  static {
    System.setProperty(SharedEventLoops.THREADS_PROPERTY, "1");
  }

  private static final Map<String, String> NOT_TAKEN = Map.of("teaseldeal-handover", "NOT_TAKEN");
  private static final HttpAnswer BROKEN = new HttpAnswer(0, Map.of(), new byte[0]);

  /** How the instance that took a request answers it. */
  private enum Taken implements HttpHandler {
    COMPLETE {
      @Override
      public void handle(HttpExchange exchange) {
        exchange.respond(
            200,
            Map.of("teaseldeal-handover", "COMPLETE"),
            "whole".getBytes(StandardCharsets.UTF_8));
      }
    },
    STREAM {
      @Override
      public void handle(HttpExchange exchange) {
        ResponseStream stream = exchange.startStream(200, Map.of("teaseldeal-handover", "STREAM"));
        stream.write("one ".getBytes(StandardCharsets.UTF_8));
        stream.write("two".getBytes(StandardCharsets.UTF_8));
        stream.finish();
      }
    }
  }

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final Map<String, String> STREAM = Map.of("teaseldeal-handover", "STREAM");

  private final HandoverPolicy policy = new HandoverPolicy(new Random(1));
  private final GatewayFixture gateway = new GatewayFixture();
  private final HttpClient callers = new HttpClient(HttpClientConfig.defaults());
  private final HttpClient links = new HttpClient(HttpClientConfig.defaults());
  private volatile HttpHandler siblingHandler = exchange -> exchange.abort();
  private HttpServer sibling;
  private CuttingProxy siblingLink;
  private HttpServer instance;

  @BeforeEach
  void start() throws IOException {
    sibling =
        HttpServer.start(
            HttpServerConfig.defaults("127.0.0.1", 0), exchange -> siblingHandler.handle(exchange));
    siblingLink = new CuttingProxy(sibling.address());
    policy.onWilling(siblingLink.address(), gateway.clock.instant());
    RequestHandover handover =
        new RequestHandover(
            "instance-1",
            gateway.dispatcher,
            links::send,
            () -> List.of(siblingLink.address()),
            () -> true,
            () -> Duration.ofSeconds(1),
            () -> gateway.plan,
            policy,
            gateway.events::add,
            gateway.clock);
    instance = HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), handover);
  }

  @AfterEach
  void stop() throws IOException {
    instance.close();
    siblingLink.close();
    sibling.close();
    callers.close();
    links.close();
  }

  private static String address(HttpServer server) {
    return "127.0.0.1:" + server.address().getPort();
  }

  private CompletableFuture<HttpAnswer> call() {
    return callers.fetch(
        new HttpCallRequest(
            address(instance),
            "POST",
            GatewayFixture.ONCE_PATH,
            Map.of("host", FakeDialect.HOST),
            new byte[] {1, 2},
            TIMEOUT));
  }

  @Test
  void passesACompleteAnswer() throws Exception {
    siblingHandler =
        exchange ->
            exchange.respond(
                201,
                Map.of("teaseldeal-handover", "COMPLETE", "x-note", "s"),
                "whole".getBytes(StandardCharsets.UTF_8));
    HttpAnswer answer = call().get();
    assertEquals(201, answer.status());
    assertEquals("whole", answer.text());
    assertEquals("s", answer.headers().get("x-note"));
    assertEquals("5", answer.headers().get("content-length"));
    assertTrue(answer.headers().keySet().stream().noneMatch(name -> name.startsWith("teaseldeal")));
  }

  @Test
  void passesAStream() throws Exception {
    siblingHandler =
        exchange -> {
          ResponseStream stream = exchange.startStream(200, STREAM);
          stream.write("one ".getBytes(StandardCharsets.UTF_8));
          stream.write("two".getBytes(StandardCharsets.UTF_8));
          stream.finish();
        };
    assertEquals("one two", call().get().text());
  }

  /** The instance that took a request ends in the middle of the answer. */
  @Test
  void doesNotCompleteAStreamThatBreaksOff() {
    siblingHandler =
        exchange -> {
          ResponseStream stream = exchange.startStream(200, STREAM);
          stream.write("one ".getBytes(StandardCharsets.UTF_8));
          stream.abort();
        };
    ExecutionException failure = assertThrows(ExecutionException.class, () -> call().get());
    assertInstanceOf(HttpFailureException.class, failure.getCause());
  }

  /** The instance that took a request ends before it answers. */
  @Test
  void saysThatARequestMayHaveRunIfItsConnectionCloses() throws Exception {
    siblingHandler = exchange -> exchange.abort();
    assertEquals(502, call().get().status());
    assertEquals(List.of(), gateway.sent);
  }

  /**
   * Guards against an answer of the instance that took a request reaching the caller as complete,
   * or as proof that the request was not taken, although its connection ends at any byte.
   */
  @ParameterizedTest
  @EnumSource
  void doesNotCompleteAnAnswerThatIsCut(Taken taken) throws Exception {
    siblingHandler = taken;
    assertEquals(200, callWith(Cut.NONE).get().status());
    long bytes = siblingLink.answerBytes();
    for (long cutAt = 0; cutAt < bytes; cutAt++) {
      for (boolean reset : new boolean[] {false, true}) {
        HttpAnswer answer = callWith(new Cut(cutAt, reset)).exceptionally(failure -> BROKEN).get();
        assertTrue(answer.status() == 502 || answer == BROKEN, answer.text() + " at " + cutAt);
      }
    }
    assertEquals(List.of(), gateway.sent);
  }

  /**
   * Guards against a request being run here that may run at the other instance, whose refusal is
   * cut inside its head.
   */
  @Test
  void doesNotServeARequestWhoseRefusalIsCutInItsHead() throws Exception {
    siblingHandler = exchange -> exchange.respond(503, NOT_TAKEN, new byte[0]);
    String address = siblingLink.address();
    callers.fetch(new HttpCallRequest(address, "GET", "/", Map.of(), new byte[0], TIMEOUT)).get();
    long headBytes = siblingLink.answerBytes();
    for (long cutAt = 0; cutAt < headBytes; cutAt++) {
      assertEquals(502, callWith(new Cut(cutAt, false)).get().status(), "at " + cutAt);
    }
    assertEquals(List.of(), gateway.sent);
  }

  /** Sends a request that is handed over on a new connection. */
  private CompletableFuture<HttpAnswer> callWith(Cut cut) {
    links.closeIdle(siblingLink.address());
    siblingLink.setCut(cut);
    // An instance whose answer was lost is left out for some time.
    policy.onWilling(siblingLink.address(), gateway.clock.instant());
    return call();
  }

  @Test
  void closesTheCallOfACallerThatLeaves() throws Exception {
    CountDownLatch arrived = new CountDownLatch(1);
    CountDownLatch left = new CountDownLatch(1);
    siblingHandler =
        exchange -> {
          exchange.onCallerDisconnect(left::countDown);
          arrived.countDown();
        };
    CompletableFuture<HttpAnswer> call = call();
    assertTrue(arrived.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "not handed over");
    call.cancel(true);
    assertTrue(left.await(TIMEOUT.toSeconds(), TimeUnit.SECONDS), "not cancelled");
  }
}
