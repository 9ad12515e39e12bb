package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of answers, or parts of them, that a server sends a second time on a kept connection. */
@Timeout(60)
class RepeatedAnswerTests {
  private static final String OWN_ANSWER = answer(500, "Request: 2", "failed");

  /** The first answer on a connection, which its server sends once more. */
  private enum First {
    UNNAMED_REJECTION(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
    UNNAMED_FAILURE(answer(500, "X: y", "failed before")),
    UNNAMED_SUCCESS(answer(200, "Seal: s", "of another")),
    UNNAMED_CHUNKS(
        "HTTP/1.1 200 OK\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "a\r\nof another\r\n0\r\n\r\n"),
    NAMED_REJECTION(answer(503, "Request: 1", "full")),
    NAMED_SUCCESS(answer(200, "Request: 1", "of another"));

    private final String text;

    First(String text) {
      this.text = text;
    }
  }

  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());

  @AfterEach
  void closeClient() {
    client.close();
  }

  /**
   * Guards against the second copy of an earlier answer being delivered as the answer to the next
   * request on its connection.
   */
  @ParameterizedTest
  @EnumSource
  void areNotDeliveredToTheNextCall(First first) throws Exception {
    try (ScriptedServer server = new ScriptedServer(socket -> answerTwice(socket, first.text))) {
      call(server, 1);
      assertEquals("head 500 null, part failed, end", call(server, 2));
    }
  }

  /** Guards against a copy of the answer to a call being delivered to a later one of its name. */
  @Test
  void areNotDeliveredToALaterCallOfTheSameName() throws Exception {
    String first = answer(500, "Request: 1", "failed");
    LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              boolean again = !received.isEmpty();
              received.add("request " + ScriptedServer.requestNumber(socket));
              if (!again) {
                ScriptedServer.write(socket, first);
                ScriptedServer.requestNumber(socket);
                ScriptedServer.write(socket, first);
              }
              ScriptedServer.write(socket, answer(200, "Request: 1", "run"));
              ScriptedServer.requestNumber(socket);
            })) {
      assertEquals("head 500 null, part failed, end", call(server, 1));
      assertEquals("head 200 null, part run, end", call(server, 1));
    }
  }

  /** Guards against a connection that is closed although its next call has another name. */
  @Test
  void keepTheConnectionForCallsOfOtherNames() throws Exception {
    LinkedBlockingQueue<String> connections = new LinkedBlockingQueue<>();
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              connections.add("connection");
              while (true) {
                int number = ScriptedServer.requestNumber(socket);
                ScriptedServer.write(socket, answer(200, "Request: " + number, "run"));
              }
            })) {
      for (int number = 1; number <= 300; number++) {
        assertEquals("head 200 null, part run, end", call(server, number));
      }
      assertEquals(1, connections.size());
    }
  }

  /**
   * Guards against a part of a head that arrives between two calls, or together with the end of an
   * answer, being joined with the head of the next answer.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void areNotJoinedWithTheNextAnswerIfTheirHeadIsCutBetweenCalls(boolean withFirstAnswer)
      throws Exception {
    String copy = answer(200, "Request: 1", "of another");
    for (int bytes = 1; bytes < copy.indexOf("\r\n\r\n") + 4; bytes++) {
      String cut = copy.substring(0, bytes);
      CountDownLatch firstAnswered = new CountDownLatch(withFirstAnswer ? 0 : 1);
      CountDownLatch firstClosed = new CountDownLatch(1);
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                if (ScriptedServer.requestNumber(socket) == 1) {
                  ScriptedServer.write(socket, withFirstAnswer ? copy + cut : copy);
                  firstAnswered.await();
                  if (!withFirstAnswer) {
                    ScriptedServer.write(socket, cut);
                  }
                  ScriptedServer.awaitClose(socket);
                  firstClosed.countDown();
                } else {
                  ScriptedServer.write(socket, OWN_ANSWER);
                }
              })) {
        call(server, 1);
        firstAnswered.countDown();
        firstClosed.await();
        assertEquals("head 500 null, part failed, end", call(server, 2), "cut after " + bytes);
      }
    }
  }

  /**
   * Guards against calls on a connection whose server has answered an earlier one of them twice.
   */
  @Test
  void endTheUseOfTheirConnection() throws Exception {
    CountDownLatch closed = new CountDownLatch(1);
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              ScriptedServer.requestNumber(socket);
              ScriptedServer.write(
                  socket, answer(200, "Request: 0", "other") + answer(200, "Request: 1", "own"));
              ScriptedServer.awaitClose(socket);
              closed.countDown();
            })) {
      assertEquals("head 200 null, part own, end", call(server, 1));
      assertTrue(closed.await(10, TimeUnit.SECONDS));
    }
  }

  /**
   * Guards against the head of a copy that is cut being joined with that of the next answer, also
   * if that one has a status outside HTTP.
   */
  @ParameterizedTest
  @ValueSource(ints = {500, 42, 7, 999})
  void areNotJoinedWithTheNextAnswerIfTheirHeadIsCutBeforeIt(int ownStatus) throws Exception {
    String own = answer(ownStatus, "Request: 2", "failed");
    String copy = "HTTP/1.1 200 OK\r\nSeal: 12\r\nRequest: 1\r\nContent-Length: 10\r\n\r\n";
    List<String> delivered = new ArrayList<>();
    for (int bytes = 1; bytes < copy.length(); bytes++) {
      String cut = copy.substring(0, bytes);
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                ScriptedServer.requestNumber(socket);
                ScriptedServer.write(socket, answer(200, "Request: 1", "of another"));
                ScriptedServer.requestNumber(socket);
                ScriptedServer.write(socket, cut + own);
              })) {
        call(server, 1);
        String events = call(server, 2);
        boolean ownAnswer = ownStatus == 500 && events.equals("head 500 null, part failed, end");
        if (!events.endsWith("_ANSWER") && !ownAnswer) {
          delivered.add("cut after %d: %s".formatted(bytes, events));
        }
      }
    }
    assertEquals(List.of(), delivered);
  }

  /** Guards against a sound answer being refused because a header of it quotes a status line. */
  @Test
  void areNotSuspectedInTheFirstAnswerOfAConnection() throws Exception {
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              ScriptedServer.requestNumber(socket);
              ScriptedServer.write(
                  socket, answer(200, "Request: 1\r\nUpstream: HTTP/1.1 404 Not Found", "own"));
              ScriptedServer.awaitClose(socket);
            })) {
      assertEquals("head 200 null, part own, end", call(server, 1));
    }
  }

  private static void answerTwice(Socket socket, String first) throws Exception {
    if (ScriptedServer.requestNumber(socket) == 1) {
      ScriptedServer.write(socket, first);
      ScriptedServer.requestNumber(socket);
      ScriptedServer.write(socket, first);
    }
    ScriptedServer.write(socket, OWN_ANSWER);
    ScriptedServer.requestNumber(socket);
  }

  private static String answer(int status, String header, String body) {
    return "HTTP/1.1 %d Status\r\n%s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(status, header, body.length(), body);
  }

  private String call(ScriptedServer server, int number) throws InterruptedException {
    return NumberedListener.call(client, server, "GET", number);
  }
}
