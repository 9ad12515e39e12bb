package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests of an event loop that is blocked while it handles one input, for longer than the timeouts
 * of its other connections.
 */
@Timeout(30)
class BlockedEventLoopTests {
  /** Enough for several connections on each event loop. */
  private static final int CONNECTIONS = 16;

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CountDownLatch unblocked = new CountDownLatch(1);
  private HttpServer server;

  @BeforeEach
  void startServer() throws IOException {
    server =
        HttpServer.start(
            new HttpServerConfig(
                "127.0.0.1", 0, 2 * CONNECTIONS, 512, 64, Duration.ofSeconds(10), TIMEOUT),
            this::handle);
  }

  @AfterEach
  void closeServer() {
    server.close();
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().equals("/block")) {
      blocked.countDown();
      awaitQuietly(unblocked);
    }
    exchange.respond(200, Map.of(), new byte[0]);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against a kept connection that is closed as idle although a request has arrived. */
  @Test
  void answersRequestsThatArriveWhileTheEventLoopIsBlocked() throws Exception {
    List<RawConnection> connections = new ArrayList<>();
    for (int i = 0; i < CONNECTIONS; i++) {
      RawConnection connection = new RawConnection(server.address());
      connections.add(connection);
      connection.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n").readUntil("\r\n\r\n");
    }
    try (RawConnection blocking = new RawConnection(server.address())) {
      blocking.send("GET /block HTTP/1.1\r\nHost: x\r\n\r\n");
      blocked.await();
      for (RawConnection connection : connections) {
        connection.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
      }
      Thread.sleep(2 * TIMEOUT.toMillis());
      unblocked.countDown();
      for (RawConnection connection : connections) {
        connection.readUntil("\r\n\r\n");
        connection.close();
      }
    }
  }

  /** Guards against calls that fail as unanswered although their answers have arrived in time. */
  @Test
  void deliversAnswersThatArriveWhileTheEventLoopIsBlocked() throws Exception {
    try (ServerSocket answering =
            new ServerSocket(0, CONNECTIONS, InetAddress.getByName("127.0.0.1"));
        HttpClient client =
            new HttpClient(
                new HttpClientConfig(
                    Duration.ofSeconds(5),
                    CONNECTIONS,
                    CONNECTIONS,
                    Duration.ofSeconds(10),
                    8192,
                    1 << 16));
        RawConnection blocking = new RawConnection(server.address())) {
      Thread.ofVirtual().start(() -> answerWhileBlocked(answering));
      List<CompletableFuture<HttpAnswer>> answers = new ArrayList<>();
      for (int i = 0; i < CONNECTIONS; i++) {
        AnswerCollector collector = new AnswerCollector(1 << 16, CallMatcher.BY_PLACE);
        client.send(request(answering), collector);
        answers.add(collector.answer());
      }
      Thread.sleep(TIMEOUT.toMillis() / 2);
      blocking.send("GET /block HTTP/1.1\r\nHost: x\r\n\r\n");
      blocked.await();
      Thread.sleep(TIMEOUT.toMillis());
      unblocked.countDown();
      for (CompletableFuture<HttpAnswer> answer : answers) {
        assertEquals("ok", answer.get().text());
      }
    }
  }

  /** Answers the first request of each connection once the event loop is blocked. */
  private void answerWhileBlocked(ServerSocket listener) {
    try {
      for (int i = 0; i < CONNECTIONS; i++) {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> answerWhileBlocked(socket));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void answerWhileBlocked(Socket socket) {
    try {
      ScriptedServer.readRequest(socket);
      awaitQuietly(blocked);
      ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }

  private static HttpCallRequest request(ServerSocket to) {
    return new HttpCallRequest(
        "127.0.0.1:" + to.getLocalPort(),
        "GET",
        "/a",
        Map.of(),
        "".getBytes(StandardCharsets.UTF_8),
        TIMEOUT);
  }
}
