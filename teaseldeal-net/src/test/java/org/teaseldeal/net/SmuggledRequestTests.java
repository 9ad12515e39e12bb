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
 * Bytes that two readers could cut into requests differently.
 *
 * <p>A caller hides a second request in the body of a first. Passed on as it came, a backend server
 * that reads the lengths another way would run the hidden one, and its answer would go to whoever
 * comes next on the connection. So what is ambiguous is refused, and nothing after it is read.
 */
@Timeout(30)
class SmuggledRequestTests {
  private static final String HIDDEN = "GET /hidden HTTP/1.1\r\nHost: x\r\n\r\n";

  private final List<String> seen = new CopyOnWriteArrayList<>();
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    server =
        HttpServer.start(
            HttpServerConfig.defaults("127.0.0.1", 0),
            exchange -> {
              seen.add(exchange.method() + " " + exchange.path());
              exchange.respond(200, Map.of(), exchange.body());
            });
  }

  @AfterEach
  void stop() {
    server.close();
  }

  @Test
  void refusesTwoKindsOfLength() throws IOException {
    assertRefused("Content-Length: 4\r\nTransfer-Encoding: chunked", "0\r\n\r\n" + HIDDEN);
    assertRefused("Transfer-Encoding: chunked\r\nContent-Length: 4", "0\r\n\r\n" + HIDDEN);
  }

  @Test
  void refusesTwoLengths() throws IOException {
    assertRefused("Content-Length: 0\r\nContent-Length: 34", HIDDEN);
    assertRefused("Content-Length: 0, 34", HIDDEN);
  }

  @Test
  void refusesLengthsThatAreNoNumbers() throws IOException {
    assertRefused("Content-Length: +4", "abcd" + HIDDEN);
    assertRefused("Content-Length: -1", HIDDEN);
    assertRefused("Content-Length: 0x4", "abcd" + HIDDEN);
  }

  @Test
  void refusesSpaceBeforeTheColonOfALength() throws IOException {
    assertRefused("Content-Length : 34", HIDDEN);
  }

  @Test
  void refusesCodingsThatItDoesNotRead() throws IOException {
    assertRefused("Transfer-Encoding: gzip, chunked", "0\r\n\r\n" + HIDDEN);
    assertRefused("Transfer-Encoding: xchunked", HIDDEN);
  }

  /** The whole of a body belongs to its request, also where it looks like another one. */
  @Test
  void readsARequestInABodyAsABody() throws IOException {
    try (RawConnection connection = new RawConnection(server.address())) {
      connection.send(
          "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
              .formatted(HIDDEN.length(), HIDDEN));
      assertTrue(connection.readToEnd().endsWith(HIDDEN));
    }
    assertEquals(List.of("POST /a"), seen);
  }

  private void assertRefused(String lengths, String rest) throws IOException {
    seen.clear();
    try (RawConnection connection = new RawConnection(server.address())) {
      connection.send("POST /a HTTP/1.1\r\nHost: x\r\n" + lengths + "\r\n\r\n" + rest);
      String answer = connection.readToEnd();
      assertTrue(
          answer.startsWith("HTTP/1.1 400 "),
          "%s was answered '%s', expected 400".formatted(lengths, answer));
      assertEquals(1, answer.split("HTTP/1.1 ", -1).length - 1, answer);
    }
    assertEquals(List.of(), seen, lengths);
  }
}
