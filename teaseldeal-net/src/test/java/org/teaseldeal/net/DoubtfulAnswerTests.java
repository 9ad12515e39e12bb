package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers that come at the wrong time or end in the wrong way, byte by byte. */
@Timeout(30)
class DoubtfulAnswerTests {
  private static final int MORE_THAN_SOCKETS_HOLD = 64 << 20;

  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());

  @AfterEach
  void closeClient() {
    client.close();
  }

  /**
   * The caller of the second request gets its own answer. A server answers a long request before it
   * has read it, keeps the connection and reads on later: what is sent next there would be taken
   * for the rest of the first body. So the next request goes over a new connection.
   */
  @Test
  void sendsNothingElseWhereABodyIsStillDue() throws Exception {
    LinkedBlockingQueue<String> firstLines = new LinkedBlockingQueue<>();
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              firstLines.add(readLine(socket));
              ScriptedServer.readRequest(socket);
              ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
              socket.getInputStream().transferTo(OutputStream.nullOutputStream());
            })) {
      assertEquals("ok", fetch(server, new byte[MORE_THAN_SOCKETS_HOLD]));
      assertEquals("ok", fetch(server, new byte[0]));
      assertEquals("POST /answer HTTP/1.1", firstLines.take());
      assertEquals("POST /answer HTTP/1.1", firstLines.take());
    }
  }

  /** An answer without a length ends with its connection; that is whole only if it was closed. */
  @Test
  void takesAnAnswerWithoutLengthAsWholeOnlyIfItsConnectionIsClosed() throws Exception {
    for (boolean reset : new boolean[] {false, true}) {
      CountDownLatch partRead = new CountDownLatch(1);
      LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
      try (ScriptedServer server =
          new ScriptedServer(
              socket -> {
                ScriptedServer.readRequest(socket);
                ScriptedServer.write(socket, "HTTP/1.1 200 OK\r\n\r\nall there is");
                // A reset discards what has not been read.
                partRead.await();
                socket.setSoLinger(reset, 0);
              })) {
        client.send(request(server, new byte[0]), new Recorder(told));
        assertEquals("head 200 null", told.take());
        assertEquals("part all there is", told.take());
        partRead.countDown();
        assertEquals(reset ? "BROKEN_ANSWER" : "end", told.take());
      }
    }
  }

  private static String readLine(Socket socket) throws Exception {
    StringBuilder line = new StringBuilder();
    for (int next = socket.getInputStream().read(); next != '\r'; ) {
      line.append((char) next);
      next = socket.getInputStream().read();
    }
    return line.toString();
  }

  private String fetch(ScriptedServer server, byte[] body) throws Exception {
    return client.fetch(request(server, body)).get().text();
  }

  private static HttpCallRequest request(ScriptedServer server, byte[] body) {
    return new HttpCallRequest(
        IpAddresses.format(server.address()),
        "POST",
        "/answer",
        Map.of(),
        body,
        Duration.ofSeconds(10));
  }
}
