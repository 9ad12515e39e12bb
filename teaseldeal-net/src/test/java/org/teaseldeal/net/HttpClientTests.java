package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

@Timeout(30)
class HttpClientTests {
  private final HttpClient client =
      new HttpClient(
          new HttpClientConfig(Duration.ofSeconds(1), 2, 2, Duration.ofSeconds(10), 8192, 1 << 16));
  private final LinkedBlockingQueue<String> recorded = new LinkedBlockingQueue<>();

  @AfterEach
  void closeClient() {
    client.close();
  }

  @Nested
  class Answers {
    @Test
    void arriveAsHeadPartsAndEnd() throws Exception {
      try (HttpServer server = startEchoServer()) {
        client.send(request(server.address(), "POST", "hello"), new RecordingListener(recorded));
        assertEquals("head 200 POST", recorded.take());
        assertEquals("part hello", recorded.take());
        assertEquals("end", recorded.take());
      }
    }

    @Test
    void areFetchedCompletely() throws Exception {
      try (HttpServer server = startEchoServer()) {
        HttpAnswer answer = client.fetch(request(server.address(), "POST", "hello")).get();
        assertEquals("hello", answer.text());
        assertEquals("POST", answer.headers().get("x-method"));
      }
    }

    @Test
    void failToBeFetchedBeyondSizeLimit() throws Exception {
      try (HttpServer server = startEchoServer()) {
        String large = "x".repeat((1 << 16) + 1);
        assertFetchFails(HttpFailure.BROKEN_ANSWER, request(server.address(), "POST", large));
      }
    }

    @Test
    void reuseOneConnection() throws Exception {
      Set<Integer> ports = ConcurrentHashMap.newKeySet();
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                ports.add(socket.getPort());
                for (int i = 0; i < 3; i++) {
                  ScriptedServer.readRequest(socket);
                  ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                }
              })) {
        for (int i = 0; i < 3; i++) {
          client.fetch(request(server.address(), "GET", "")).get();
        }
        assertEquals(1, ports.size());
      }
    }
  }

  /** Tests of answers whose body takes longer than the request's timeout. */
  @Nested
  class SlowAnswers {
    private static final int PARTS = 4;
    private static final String PART = "x".repeat(AnswerCollector.MIN_BYTES_PER_EXTENSION);
    private static final Duration TIMEOUT = Duration.ofMillis(200);

    /** Guards against a large answer over a slow link that is begun again and again. */
    @Test
    void areFetchedWhileTheyArrive() throws Exception {
      try (ScriptedServer server = startSlowServer(PARTS)) {
        HttpAnswer answer = client.fetchWhileArriving(request(server), Duration.ofSeconds(5)).get();
        assertEquals(PART.repeat(PARTS), answer.text());
      }
    }

    @Test
    void failWhenTheyStopArriving() throws Exception {
      try (ScriptedServer server = startSlowServer(1)) {
        assertFailsAsBroken(client.fetchWhileArriving(request(server), TIMEOUT));
      }
    }

    @Test
    void failAtTheTimeoutIfTheyMustBeCompleteByThen() throws Exception {
      try (ScriptedServer server = startSlowServer(PARTS)) {
        assertFailsAsBroken(client.fetch(request(server)));
      }
    }

    private static HttpCallRequest request(ScriptedServer server) {
      return HttpClientTests.request(server.address(), "GET", "").withTimeout(TIMEOUT);
    }

    /** Announces {@link #PARTS} parts and sends the first ones, each after a pause. */
    private static ScriptedServer startSlowServer(int sentParts) throws IOException {
      return new ScriptedServer(
          socket -> {
            ScriptedServer.readRequest(socket);
            ScriptedServer.write(
                socket,
                "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n".formatted(PARTS * PART.length()));
            for (int i = 0; i < sentParts; i++) {
              ScriptedServer.write(socket, PART);
              pause();
            }
            ScriptedServer.readRequest(socket);
          });
    }

    private static void pause() {
      try {
        Thread.sleep(TIMEOUT.dividedBy(2));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private static void assertFailsAsBroken(CompletableFuture<HttpAnswer> answer) {
      ExecutionException thrown = assertThrows(ExecutionException.class, answer::get);
      assertEquals(
          HttpFailure.BROKEN_ANSWER,
          assertInstanceOf(HttpFailureException.class, thrown.getCause()).failure());
    }
  }

  @Nested
  class Failures {
    /** Guards against a request that can't be encoded and is neither sent nor given up. */
    @ParameterizedTest
    @CsvSource({
      "GET, /, 'a\nb'",
      "GET, /, 'a\0b'",
      "'G T', /, a",
      "GET, '/a\nb', a",
      "GET, /a b, a"
    })
    void toEncodeAreReportedAsNotSent(String method, String path, String headerValue)
        throws Exception {
      try (HttpServer server = startEchoServer()) {
        HttpCallRequest unsendable =
            new HttpCallRequest(
                address(server.address()),
                method,
                path,
                Map.of("name", headerValue),
                new byte[0],
                Duration.ofSeconds(5));
        Instant begun = Instant.now();
        assertFetchFails(HttpFailure.NOT_SENT, unsendable);
        assertFetchFails(HttpFailure.NOT_SENT, unsendable);
        assertFetchFails(HttpFailure.NOT_SENT, unsendable);
        assertTrue(Duration.between(begun, Instant.now()).compareTo(Duration.ofSeconds(5)) < 0);
        assertEquals(
            "hello", client.fetch(request(server.address(), "POST", "hello")).get().text());
      }
    }

    @Test
    void toConnectAreReportedAsNotSent() throws Exception {
      InetSocketAddress closed;
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
        closed = (InetSocketAddress) socket.getLocalSocketAddress();
      }
      client.send(request(closed, "GET", ""), new RecordingListener(recorded));
      assertEquals("NOT_SENT", recorded.take());
    }

    @Test
    void ofHostNamesAreReportedAsNotSent() throws Exception {
      client.send(
          new HttpCallRequest(
              "example.test:80", "GET", "/", Map.of(), new byte[0], Duration.ofSeconds(5)),
          new RecordingListener(recorded));
      assertEquals("NOT_SENT", recorded.take());
    }

    @Test
    void beyondConnectionLimitAreReportedAsNotSent() throws Exception {
      try (ScriptedServer server = new ScriptedServer(socket -> Thread.sleep(20_000))) {
        for (int i = 0; i < 3; i++) {
          client.send(request(server.address(), "GET", ""), new RecordingListener(recorded));
        }
        assertEquals("NOT_SENT", recorded.take());
      }
    }

    @Test
    void byTimeoutAreReportedAsNoAnswer() throws Exception {
      try (ScriptedServer server = new ScriptedServer(socket -> Thread.sleep(20_000))) {
        HttpCallRequest request =
            new HttpCallRequest(
                address(server.address()),
                "GET",
                "/",
                Map.of(),
                new byte[0],
                Duration.ofMillis(200));
        client.send(request, new RecordingListener(recorded));
        assertEquals("NO_ANSWER", recorded.take());
      }
    }

    @Test
    void byCloseAfterRequestAreReportedAsNoAnswer() throws Exception {
      try (ScriptedServer server = new ScriptedServer(ScriptedServer::readRequest)) {
        client.send(request(server.address(), "POST", "x"), new RecordingListener(recorded));
        assertEquals("NO_ANSWER", recorded.take());
      }
    }

    @Test
    void ofTruncatedAnswersAreReportedAsBroken() throws Exception {
      for (String head : new String[] {"Content-Length: 9", "Transfer-Encoding: chunked"}) {
        try (ScriptedServer server =
            new ScriptedServer(
                socket -> {
                  ScriptedServer.readRequest(socket);
                  ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n4\r\nab");
                })) {
          assertFetchFails(HttpFailure.BROKEN_ANSWER, request(server.address(), "GET", ""));
        }
      }
    }

    @Test
    void ofMalformedAnswersAreReportedAsBroken() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                ScriptedServer.readRequest(socket);
                ScriptedServer.write(socket, "WHAT IS THIS\r\n\r\n");
              })) {
        assertFetchFails(HttpFailure.BROKEN_ANSWER, request(server.address(), "GET", ""));
      }
    }
  }

  @Nested
  class PooledConnections {
    @Test
    void closedByServerAreReplacedBeforeWriting() throws Exception {
      // The server answers and closes the connection a moment later. The next call must not count
      // as sent on the closed connection: it uses a new one and gets its answer.
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                ScriptedServer.readRequest(socket);
                ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
              })) {
        for (int i = 0; i < 20; i++) {
          assertEquals("ok", client.fetch(request(server.address(), "GET", "")).get().text());
          server.awaitClosed(i + 1);
        }
      }
    }

    @Test
    void areNotReusedAfterCancellation() throws Exception {
      // A call is cancelled in the middle of its answer, whose rest arrives later. If the
      // connection were reused, the next call would receive the rest of the first call's answer.
      LinkedBlockingQueue<HttpExchange> held = new LinkedBlockingQueue<>();
      try (HttpServer server =
          HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), held::add)) {
        HttpCall first =
            client.send(request(server.address(), "GET", ""), new RecordingListener(recorded));
        ResponseStream stream = held.take().startStream(200, Map.of());
        stream.write("first".getBytes(StandardCharsets.UTF_8));
        assertEquals("head 200 null", recorded.take());
        assertEquals("part first", recorded.take());
        first.cancel();
        var second = client.fetch(request(server.address(), "GET", ""));
        stream.write("rest".getBytes(StandardCharsets.UTF_8));
        stream.finish();
        held.take().respond(200, Map.of(), "second".getBytes(StandardCharsets.UTF_8));
        assertEquals("second", second.get().text());
        assertTrue(recorded.isEmpty());
      }
    }

    @Test
    void areClosedByCloseIdle() throws Exception {
      // A server's process has ended without closing its connections. The idle connections to its
      // address are closed, and the next call uses a new one.
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                ScriptedServer.readRequest(socket);
                ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                assertEquals(-1, socket.getInputStream().read());
              })) {
        for (int i = 0; i < 3; i++) {
          assertEquals("ok", client.fetch(request(server.address(), "GET", "")).get().text());
          client.closeIdle(address(server.address()));
          server.awaitClosed(i + 1);
        }
        client.closeIdle("no address");
      }
    }

    @Test
    void areClosedOnUnsolicitedBytes() throws Exception {
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                ScriptedServer.readRequest(socket);
                ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nanother");
                assertEquals(-1, socket.getInputStream().read());
              })) {
        client.fetch(request(server.address(), "GET", "")).get();
        server.awaitClosed(1);
      }
    }
  }

  private void assertFetchFails(HttpFailure expected, HttpCallRequest request) {
    ExecutionException failed =
        assertThrows(ExecutionException.class, () -> client.fetch(request).get());
    HttpFailureException cause =
        assertInstanceOf(HttpFailureException.class, failed.getCause(), failed::toString);
    assertEquals(expected, cause.failure());
  }

  private static HttpServer startEchoServer() throws IOException {
    return HttpServer.start(
        HttpServerConfig.defaults("127.0.0.1", 0),
        exchange -> exchange.respond(200, Map.of("X-Method", exchange.method()), exchange.body()));
  }

  private static HttpCallRequest request(InetSocketAddress address, String method, String body) {
    return new HttpCallRequest(
        address(address),
        method,
        "/",
        Map.of(),
        body.getBytes(StandardCharsets.UTF_8),
        Duration.ofSeconds(10));
  }

  private static String address(InetSocketAddress address) {
    return IpAddresses.format(address);
  }
}
