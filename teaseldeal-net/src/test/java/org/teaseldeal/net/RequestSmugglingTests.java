package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests against request smuggling: bytes that two parsers could split into requests differently.
 *
 * <p>A caller hides a second request in the body of the first. Forwarded unchanged, a backend
 * server that determines the length differently would run the hidden request, and its answer would
 * go to the next caller on the connection. Ambiguous requests are therefore rejected, and nothing
 * after them is read.
 */
@Timeout(30)
class RequestSmugglingTests {
  private static final String HIDDEN = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";

  private final List<String> handledRequests = new CopyOnWriteArrayList<>();
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    server =
        HttpServer.start(
            HttpServerConfig.defaults("127.0.0.1", 0),
            exchange -> {
              handledRequests.add(exchange.method() + " " + exchange.path());
              exchange.respond(200, Map.of(), exchange.body());
            });
  }

  @AfterEach
  void stop() {
    server.close();
  }

  @Test
  void rejectsContentLengthWithTransferEncoding() throws IOException {
    assertRejected("Content-Length: 4\r\nTransfer-Encoding: chunked", "0\r\n\r\n" + HIDDEN);
    assertRejected("Transfer-Encoding: chunked\r\nContent-Length: 4", "0\r\n\r\n" + HIDDEN);
  }

  @Test
  void rejectsTwoContentLengths() throws IOException {
    assertRejected("Content-Length: 0\r\nContent-Length: 34", HIDDEN);
    assertRejected("Content-Length: 0, 34", HIDDEN);
  }

  @Test
  void rejectsMalformedContentLength() throws IOException {
    assertRejected("Content-Length: +4", "abcd" + HIDDEN);
    assertRejected("Content-Length: -1", HIDDEN);
    assertRejected("Content-Length: 0x4", "abcd" + HIDDEN);
  }

  @Test
  void rejectsSpaceBeforeColonOfContentLength() throws IOException {
    assertRejected("Content-Length : 34", HIDDEN);
  }

  @Test
  void rejectsUnsupportedTransferCodings() throws IOException {
    assertRejected("Transfer-Encoding: gzip, chunked", "0\r\n\r\n" + HIDDEN);
    assertRejected("Transfer-Encoding: xchunked", HIDDEN);
  }

  /** A body belongs to its request even if it looks like another request. */
  @Test
  void treatsRequestInsideBodyAsBody() throws IOException {
    try (RawConnection connection = new RawConnection(server.address())) {
      connection.send(
          "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
              .formatted(HIDDEN.length(), HIDDEN));
      assertTrue(connection.readToEnd().endsWith(HIDDEN));
    }
    assertEquals(List.of("POST /a"), handledRequests);
  }

  private void assertRejected(String lengths, String rest) throws IOException {
    handledRequests.clear();
    try (RawConnection connection = new RawConnection(server.address())) {
      connection.send("POST /a HTTP/1.1\r\nHost: x\r\n" + lengths + "\r\n\r\n" + rest);
      String answer = connection.readToEnd();
      assertTrue(
          answer.startsWith("HTTP/1.1 400 "),
          "%s was answered '%s', expected 400".formatted(lengths, answer));
      assertEquals(1, answer.split("HTTP/1.1 ", -1).length - 1, answer);
    }
    assertEquals(List.of(), handledRequests, lengths);
  }
}
