package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests of answers on one connection whose boundaries the server states wrongly or not at all. */
@Timeout(60)
class AnswerBoundaryTests {
  private static final String FAKE_ANSWER =
      "HTTP/1.1 200 OK\r\nX-Method: FAKE\r\nContent-Length: 4\r\n\r\nfake";

  private static final String NAMED_FIRST =
      "HTTP/1.1 200 OK\r\nRequest: 1\r\nX-Method: FIRST\r\nContent-Length: %d\r\n\r\n%s"
          .formatted(FAKE_ANSWER.length(), FAKE_ANSWER);

  private static final String HEADERS_OF_OWN = "Request: 2\r\nX-Method: OWN\r\n";

  private static final String OWN =
      "HTTP/1.1 500 Status\r\n" + HEADERS_OF_OWN + "Content-Length: 6\r\n\r\nfailed";

  private static final String OWN_TO_HEAD =
      "HTTP/1.1 500 Status\r\n" + HEADERS_OF_OWN + "Content-Length: 6\r\n\r\n";

  /** What a server sends after two requests; the bytes between are sent with the second answer. */
  private enum Exchange {
    HEAD_AFTER_COPY("POST", NAMED_FIRST, NAMED_FIRST, "HEAD", OWN_TO_HEAD),
    HEAD_AFTER_TWO_COPIES("POST", NAMED_FIRST, NAMED_FIRST + NAMED_FIRST, "HEAD", OWN_TO_HEAD),
    HEAD_AFTER_INTERIM("POST", NAMED_FIRST, "HTTP/1.1 103 Hints\r\n\r\n", "HEAD", OWN_TO_HEAD),
    COPY_OF_HEAD("HEAD", head(200, "Content-Length: 46"), head(200, "Content-Length: 46")),
    BODY_OF_HEAD("HEAD", head(200, "Content-Length: %d".formatted(FAKE_ANSWER.length()))),
    BODY_OF_HEAD_WITHOUT_LENGTH("HEAD", head(200, "X: y")),
    BODY_OF_NO_CONTENT("POST", head(204, "Content-Length: %d".formatted(FAKE_ANSWER.length()))),
    BODY_OF_NOT_MODIFIED("POST", head(304, "Content-Length: %d".formatted(FAKE_ANSWER.length()))),
    CHUNKS_OF_NO_CONTENT("POST", head(204, "Transfer-Encoding: chunked")),
    CHUNKS_OF_NOT_MODIFIED("POST", head(304, "Transfer-Encoding: chunked")),
    LENGTH_AND_CHUNKS(
        "POST",
        head(200, "Content-Length: 99\r\nTransfer-Encoding: chunked") + "2\r\nok\r\n0\r\n\r\n"),
    CONTINUE("POST", NAMED_FIRST, "HTTP/1.1 100 Continue\r\n\r\n"),
    SWITCHING_PROTOCOLS("POST", NAMED_FIRST, "HTTP/1.1 101 Switching\r\n\r\n" + FAKE_ANSWER),
    SWITCHING_TO_OTHER(
        "POST", NAMED_FIRST, "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + FAKE_ANSWER),
    TWO_LENGTHS(
        "POST",
        NAMED_FIRST,
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nokok" + FAKE_ANSWER);

    private final String firstMethod;
    private final String first;
    private final String between;
    private final String secondMethod;
    private final String own;

    Exchange(String firstMethod, String first) {
      this(firstMethod, first, FAKE_ANSWER);
    }

    Exchange(String firstMethod, String first, String between) {
      this(firstMethod, first, between, "POST", OWN);
    }

    Exchange(String firstMethod, String first, String between, String secondMethod, String own) {
      this.firstMethod = firstMethod;
      this.first = first;
      this.between = between;
      this.secondMethod = secondMethod;
      this.own = own;
    }

    private static String head(int status, String header) {
      return "HTTP/1.1 %d Status\r\nRequest: 1\r\n%s\r\n\r\n".formatted(status, header);
    }

    /** Returns whether the second call may get these events. */
    boolean allows(String events) {
      String ownEvents = secondMethod.equals("HEAD") ? "head 500 OWN, end" : OWN_EVENTS;
      return events.equals(ownEvents) || events.endsWith("_ANSWER") && !events.contains("FAKE");
    }
  }

  private static final String OWN_EVENTS = "head 500 OWN, part failed, end";

  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());

  @AfterEach
  void closeClient() {
    client.close();
  }

  /**
   * Guards against bytes after the end of an answer, as the client sees it, being taken for the
   * answer to the next call, and against that call waiting for a body that never comes.
   */
  @ParameterizedTest
  @EnumSource
  void nextCallReceivesItsOwnAnswer(Exchange exchange) throws Exception {
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              String between = "";
              if (ScriptedServer.requestNumber(socket) == 1) {
                ScriptedServer.write(socket, exchange.first);
                ScriptedServer.requestNumber(socket);
                between = exchange.between;
              }
              ScriptedServer.write(socket, between + exchange.own);
              ScriptedServer.requestNumber(socket);
            })) {
      NumberedListener.call(client, server, exchange.firstMethod, 1);
      String events = NumberedListener.call(client, server, exchange.secondMethod, 2);
      assertTrue(exchange.allows(events), events);
    }
  }

  /**
   * Guards against the first bytes of a copy, which arrive together with the end of an answer,
   * being completed by the answer to the next call.
   */
  @Test
  void nextCallReceivesItsOwnAnswerAfterPartOfCopy() throws Exception {
    List<String> violations = new ArrayList<>();
    for (int bytes = 1; bytes < NAMED_FIRST.length(); bytes++) {
      String part = NAMED_FIRST.substring(0, bytes);
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                if (ScriptedServer.requestNumber(socket) == 1) {
                  ScriptedServer.write(socket, NAMED_FIRST + part);
                  ScriptedServer.requestNumber(socket);
                }
                ScriptedServer.write(socket, OWN);
                ScriptedServer.requestNumber(socket);
              })) {
        NumberedListener.call(client, server, "POST", 1);
        String events = NumberedListener.call(client, server, "POST", 2);
        if (!events.equals(OWN_EVENTS)) {
          violations.add("part of %d bytes: %s".formatted(bytes, events));
        }
      }
    }
    assertEquals(List.of(), violations);
  }
}
