package org.teaseldeal.gateway.path;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.gateway.fake.ScriptedPeer;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.IpAddresses;

/** Tests of answers that break HTTP on their way from a backend server through a relay. */
@Timeout(60)
class UnusualRelayedAnswerTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  /** More than the socket buffers hold on the way to a server that reads nothing. */
  private static final int UPLOAD_BYTES = 7 << 20;

  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

  /** When a server resets the connection on which it has answered a part of an upload. */
  private enum Reset {
    AT_ONCE,
    ONCE_THE_PART_WAS_RECEIVED
  }

  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private final Semaphore partReceived = new Semaphore(0);
  private ServerSocket server;
  private HttpServer relay;
  private RelayFixture fixture;
  private ServerLinks links;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
    server.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    fixture =
        new RelayFixture(IpAddresses.format((InetSocketAddress) server.getLocalSocketAddress()));
    HttpServerConfig config = HttpServerConfig.defaults("127.0.0.1", 0);
    relay =
        HttpServer.start(
            config,
            new RequestRelay(newLinks("instance-1", List.of()), fixture.servers, new IdMatcher()));
    links = newLinks("instance-2", List.of(IpAddresses.format(relay.address())));
    links.tick();
  }

  private ServerLinks newLinks(String instance, List<String> peers) {
    return fixture.newLinks(
        instance,
        client::send,
        client::send,
        peers,
        client::send,
        (answering, status, headers) -> ServerStatements.NONE);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    relay.close();
    server.close();
  }

  /** Guards against a status that HTTP does not have being passed on by a relay. */
  @ParameterizedTest
  @ValueSource(strings = {"000", "0", "42", "099", "600", "999"})
  void isNoAnswerIfItsStatusIsOutsideHttp(String status) throws Exception {
    serveOnce("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok", socket -> {});
    assertEquals(List.of(HttpFailure.NO_ANSWER.name()), sendThroughRelay(new byte[1]));
  }

  /**
   * Guards against a part of an answer without a length being passed on as whole, because its
   * server reset the connection while the upload was still being written.
   */
  @ParameterizedTest
  @EnumSource
  void isNotWholeIfItsServerResetsAnUpload(Reset reset) throws Exception {
    for (int i = 0; i < 5; i++) {
      serveOnce(
          "HTTP/1.1 200 OK\r\n\r\nhalf of",
          socket -> {
            if (reset == Reset.ONCE_THE_PART_WAS_RECEIVED) {
              partReceived.acquire();
            }
            socket.setSoLinger(true, 0);
          });
      String end = sendThroughRelay(new byte[UPLOAD_BYTES]).getLast();
      assertEquals("_ANSWER", end.substring(end.indexOf('_')), end);
    }
  }

  /**
   * Guards against a copy of the answer to a request being passed on as the answer to its repeat,
   * which comes through the same relay.
   */
  @Test
  void isNotTheAnswerToARepeatOfItsRequest() throws Exception {
    AtomicInteger connections = new AtomicInteger();
    ScriptedPeer.Script repeating =
        ScriptedPeer.repeatingFirst(
            request -> answer(500, "failed"), request -> answer(200, "run"));
    try (ScriptedPeer stuttering =
        new ScriptedPeer(
            request -> {
              if (request.position() == 1) {
                connections.incrementAndGet();
              }
              return repeating.answer(request);
            })) {
      fixture.listServer(stuttering.address());
      assertEquals(List.of("head 500", "end"), sendThroughRelay(new byte[1]));
      assertEquals(List.of("head 200", "end"), sendThroughRelay(new byte[1]));
    }
    assertEquals(2, connections.get());
  }

  private static String answer(int status, String body) {
    return "HTTP/1.1 %d Status\r\nid: 1\r\ncontent-length: %d\r\n\r\n%s"
        .formatted(status, body.length(), body);
  }

  /** Names each request by its id. */
  private static final class IdMatcher implements RequestRelay.AnswerMatcher {
    @Override
    public String callName(Map<String, String> requestHeaders) {
      return requestHeaders.getOrDefault("id", "");
    }

    @Override
    public AnswerMatch match(
        Map<String, String> requestHeaders, Map<String, String> answerHeaders) {
      return AnswerMatch.THIS_CALL;
    }
  }

  /** What a server does after it has written its answer, before it closes the connection. */
  private interface Ending {
    void run(Socket socket) throws Exception;
  }

  /** Answers one request once its head has been received. */
  private void serveOnce(String answer, Ending ending) {
    Thread.ofVirtual()
        .start(
            () -> {
              try (Socket socket = server.accept()) {
                readHead(socket.getInputStream());
                socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                ending.run(socket);
              } catch (Exception e) {
                // The relay closed the connection, or the test has ended.
              }
            });
  }

  private static void readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException();
      }
      head.append((char) next);
    }
  }

  private HttpCallRequest request(byte[] body) {
    return new HttpCallRequest("127.0.0.1:1", "POST", "/bid/1", Map.of("id", "1"), body, TIMEOUT);
  }

  private List<String> sendThroughRelay(byte[] body) throws Exception {
    PartRecorder listener = new PartRecorder();
    links.sendThroughRelay(fixture.server(), request(body), listener);
    return listener.awaitEnd();
  }

  private final class PartRecorder extends OutcomeRecorder {
    @Override
    public void onBodyPart(byte[] part) {
      partReceived.release();
    }
  }
}
