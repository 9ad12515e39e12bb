package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of answers, or parts of them, that a server sends a second time on a kept connection. */
@Timeout(60)
class RepeatedAnswerTests {
  private static final String OWN_ANSWER = answer(500, "Request: 2", "failed");

  /** The first answer on a connection, which its server sends once more. */
  private enum First {
    UNNAMED_REJECTION(
        "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
    UNNAMED_FAILURE(answer(500, "X: y", "failed before")),
    UNNAMED_SUCCESS(answer(200, "Reply-Seal: s", "of another")),
    UNNAMED_CHUNKS(
        "HTTP/1.1 200 OK\r\nReply-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "a\r\nof another\r\n0\r\n\r\n"),
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
              received.add("request " + requestNumber(socket));
              if (!again) {
                ScriptedServer.write(socket, first);
                requestNumber(socket);
                ScriptedServer.write(socket, first);
              }
              ScriptedServer.write(socket, answer(200, "Request: 1", "run"));
              requestNumber(socket);
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
                int number = requestNumber(socket);
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
   * Guards against a part of a head that arrives between two calls being joined with the head of
   * the next answer.
   */
  @Test
  void areNotJoinedWithTheNextAnswerIfTheirHeadIsCutBetweenCalls() throws Exception {
    String copy = answer(200, "Request: 1", "of another");
    for (int bytes = 1; bytes < copy.indexOf("\r\n\r\n") + 4; bytes++) {
      String cut = copy.substring(0, bytes);
      LinkedBlockingQueue<String> sent = new LinkedBlockingQueue<>();
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                if (requestNumber(socket) == 1) {
                  ScriptedServer.write(socket, copy);
                  Thread.sleep(20);
                  ScriptedServer.write(socket, cut);
                  sent.add(cut);
                  requestNumber(socket);
                }
                ScriptedServer.write(socket, OWN_ANSWER);
              })) {
        call(server, 1);
        sent.take();
        Thread.sleep(20);
        assertEquals("head 500 null, part failed, end", call(server, 2), "cut after " + bytes);
      }
    }
  }

  /** Guards against the head of a copy that is cut being joined with that of the next answer. */
  @Test
  void areNotJoinedWithTheNextAnswerIfTheirHeadIsCutBeforeIt() throws Exception {
    String copy = "HTTP/1.1 200 OK\r\nReply-Seal: 12\r\nRequest: 1\r\nContent-Length: 10\r\n\r\n";
    List<String> delivered = new ArrayList<>();
    for (int bytes = 1; bytes < copy.length(); bytes++) {
      String cut = copy.substring(0, bytes);
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                requestNumber(socket);
                ScriptedServer.write(socket, answer(200, "Request: 1", "of another"));
                requestNumber(socket);
                ScriptedServer.write(socket, cut + OWN_ANSWER);
              })) {
        call(server, 1);
        String events = call(server, 2);
        if (events.startsWith("head 200")) {
          delivered.add("cut after %d: %s".formatted(bytes, events));
        }
      }
    }
    assertEquals(List.of(), delivered);
  }

  private static void answerTwice(Socket socket, String first) throws Exception {
    if (requestNumber(socket) == 1) {
      ScriptedServer.write(socket, first);
      requestNumber(socket);
      ScriptedServer.write(socket, first);
    }
    ScriptedServer.write(socket, OWN_ANSWER);
    requestNumber(socket);
  }

  private static String answer(int status, String header, String body) {
    return "HTTP/1.1 %d Status\r\n%s\r\nContent-Length: %d\r\n\r\n%s"
        .formatted(status, header, body.length(), body);
  }

  /** Reads a request without a body and returns its number. */
  private static int requestNumber(Socket socket) throws Exception {
    String line = "";
    int number = 0;
    for (StringBuilder next = new StringBuilder(); ; ) {
      int read = socket.getInputStream().read();
      if (read < 0) {
        throw new EOFException();
      }
      if (read != '\n') {
        next.append((char) read);
        continue;
      }
      line = next.toString().strip();
      next.setLength(0);
      if (line.isEmpty()) {
        return number;
      }
      if (line.toLowerCase(Locale.ROOT).startsWith("request:")) {
        number = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
      }
    }
  }

  /** Sends a call with a number and returns what the client reports. */
  private String call(ScriptedServer server, int number) throws Exception {
    LinkedBlockingQueue<String> recorded = new LinkedBlockingQueue<>();
    client.send(
        new HttpCallRequest(
            IpAddresses.format(server.address()),
            "GET",
            "/answer",
            Map.of("request", Integer.toString(number)),
            new byte[0],
            Duration.ofSeconds(10)),
        new NumberedListener(recorded, number));
    List<String> events = new ArrayList<>();
    do {
      events.add(recorded.take());
    } while (events.getLast().startsWith("head") || events.getLast().startsWith("part"));
    return String.join(", ", events);
  }

  /** Matches answers by the number of their request. */
  private static final class NumberedListener extends RecordingListener {
    private final int number;

    NumberedListener(LinkedBlockingQueue<String> recorded, int number) {
      super(recorded);
      this.number = number;
    }

    @Override
    public String callName() {
      return Integer.toString(number);
    }

    @Override
    public AnswerMatch match(int status, Map<String, String> headers) {
      String named = headers.get("request");
      if (named == null) {
        return AnswerMatch.UNNAMED;
      }
      return named.equals(Integer.toString(number))
          ? AnswerMatch.THIS_CALL
          : AnswerMatch.OTHER_CALL;
    }
  }
}
