package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests of answers whose connection ends inside their head or, at the other end, their trailers.
 */
@Timeout(60)
class CutHeadTests {
  private static final String HEAD_END = "\r\n\r\n";

  private static final String WHOLE_ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

  /** A header that the listener of the call takes for that of an answer to another request. */
  private static final String OTHER_ANSWER_HEADER = "x-method";

  /** An answer; whatever it lacks at its end, it must not be reported as complete. */
  private enum Answer {
    LENGTH("HTTP/1.1 200 OK\r\nReply: a\r\nContent-Length: 12\r\n\r\ntwelve bytes"),
    REPEATED_LENGTH(
        "GET",
        "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Length: 12\r\n\r\ntwelve bytes",
        true),
    CHUNKS("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
    TRAILERS(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A, B\r\n\r\n"
            + "5\r\nwhole\r\n0\r\nA: 1\r\nB: 2\r\n\r\n"),
    NO_FRAMING("HTTP/1.1 200 OK\r\nReply: a\r\nConnection: close\r\n\r\n"),
    HTTP_1_0("HTTP/1.0 200 OK\r\nReply: a\r\n\r\n"),
    HTTP_1_0_LENGTH("HTTP/1.0 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes"),
    AFTER_CONTINUE("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    AFTER_EARLY_HINTS(
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nContent-Length: 2\r\n\r\n"
            + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    AFTER_HINTS_UNFRAMED(
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nReply: a\r\n\r\n"),
    AFTER_OTHER_ANSWER(
        "HTTP/1.1 200 OK\r\nX-Method: GET\r\nContent-Length: 3\r\n\r\nold"
            + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
    AFTER_OTHER_CHUNKS(
        "HTTP/1.1 200 OK\r\nX-Method: GET\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "3\r\nold\r\n0\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\nReply: a\r\n\r\n"),
    AFTER_OTHER_NO_CONTENT(
        "HTTP/1.1 204 No Content\r\nX-Method: GET\r\n\r\nHTTP/1.1 200 OK\r\nReply: a\r\n\r\n"),
    NO_CONTENT("HTTP/1.1 204 No Content\r\nContent-Length: 12\r\n\r\n"),
    NO_CONTENT_CHUNKS("HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n"),
    NOT_MODIFIED("HTTP/1.1 304 Not Modified\r\nETag: a\r\nContent-Length: 12\r\n\r\n"),
    TO_HEAD("HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nReply: a\r\n\r\n", false),
    TO_HEAD_CHUNKS("HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", false),
    TO_HEAD_UNFRAMED("HEAD", "HTTP/1.1 200 OK\r\nReply: a\r\n\r\n", false),
    FOLDED("HTTP/1.1 200 OK\r\nReply: a,\r\n b\r\nContent-Length: 12\r\n\r\ntwelve bytes"),
    FOLDED_LENGTH("GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\ntwelve bytes", true),
    LINE_FEEDS("GET", "HTTP/1.1 200 OK\nContent-Length: 12\n\ntwelve bytes", true),
    CARRIAGE_RETURNS("GET", "HTTP/1.1 200 OK\rContent-Length: 12\r\rtwelve bytes", true),
    ONE_LINE_FEED("GET", "HTTP/1.1 200 OK\r\nReply: a\nContent-Length: 2\r\n\r\nok", true);

    private final String method;
    private final String text;

    /** Whether the answer violates the protocol, so that it may be broken as a whole. */
    private final boolean malformed;

    Answer(String text) {
      this("GET", text, false);
    }

    Answer(String method, String text, boolean malformed) {
      this.method = method;
      this.text = text;
      this.malformed = malformed;
    }

    /** The number of bytes up to the end of the head of the call's own answer. */
    int headBytes() {
      int ownHead = Math.max(text.lastIndexOf("HTTP/1."), 0);
      int end = text.indexOf(HEAD_END, ownHead);
      return end < 0 ? text.length() : end + HEAD_END.length();
    }
  }

  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private final LinkedBlockingQueue<String> recorded = new LinkedBlockingQueue<>();

  @AfterEach
  void closeClient() {
    client.close();
  }

  /**
   * Guards against an answer that is cut at any byte of its head, of an interim head or of its
   * trailers being reported as complete, on a new and on a persistent connection.
   */
  @ParameterizedTest
  @EnumSource
  void isNotReportedAsAnswer(Answer answer) throws Exception {
    List<String> violations = new ArrayList<>();
    for (int bytes = 0; bytes < answer.text.length(); bytes++) {
      for (boolean reset : new boolean[] {false, true}) {
        boolean persistent = reset == (bytes % 2 == 0);
        List<String> events = eventsOf(answer, bytes, reset, persistent);
        boolean headReported = events.stream().anyMatch(event -> event.startsWith("head"));
        String end = events.getLast();
        if (!end.endsWith("_ANSWER") || (headReported && bytes < answer.headBytes())) {
          violations.add("%d bytes, reset %s: %s".formatted(bytes, reset, events));
        }
      }
    }
    assertEquals(List.of(), violations);
    String end = eventsOf(answer, answer.text.length(), false, false).getLast();
    assertEquals(answer.malformed, end.endsWith("_ANSWER"), end);
  }

  /** Sends the first bytes of an answer and returns what the client reports. */
  private List<String> eventsOf(Answer answer, int bytes, boolean reset, boolean persistent)
      throws Exception {
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              if (persistent) {
                ScriptedServer.readRequest(socket);
                ScriptedServer.write(socket, WHOLE_ANSWER);
              }
              answerAndEnd(socket, answer.text.substring(0, bytes), reset);
            })) {
      if (persistent) {
        client.fetch(request(server, "GET")).get();
      }
      recorded.clear();
      client.send(request(server, answer.method), new OwnAnswerListener(recorded));
      List<String> events = new ArrayList<>();
      do {
        events.add(recorded.take());
      } while (events.getLast().startsWith("head") || events.getLast().startsWith("part"));
      return events;
    }
  }

  private static void answerAndEnd(Socket socket, String text, boolean reset) throws Exception {
    ScriptedServer.readRequest(socket);
    ScriptedServer.write(socket, text);
    socket.setSoLinger(reset, 0);
  }

  private static HttpCallRequest request(ScriptedServer server, String method) {
    return new HttpCallRequest(
        IpAddresses.format(server.address()),
        method,
        "/answer",
        Map.of(),
        new byte[0],
        Duration.ofSeconds(10));
  }

  private static final class OwnAnswerListener extends RecordingListener {
    OwnAnswerListener(LinkedBlockingQueue<String> recorded) {
      super(recorded);
    }

    @Override
    public AnswerMatch match(int status, Map<String, String> headers) {
      return headers.containsKey(OTHER_ANSWER_HEADER)
          ? AnswerMatch.OTHER_CALL
          : AnswerMatch.THIS_CALL;
    }
  }
}
