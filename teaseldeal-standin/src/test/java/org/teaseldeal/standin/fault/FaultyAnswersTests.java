package org.teaseldeal.standin.fault;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.teaseldeal.net.AnswerFraming;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.service.ServiceFaults;

/** Guards against stand-ins whose answers are never framed or broken off as servers' may be. */
@Timeout(60)
class FaultyAnswersTests {
  private static final int BREAKS = 60;
  private static final String HEAD_END = "\r\n\r\n";

  private record BrokenOff(AnswerFraming framing, int bytes, boolean reset) {}

  private final ActiveFaults<ServiceFaults> faults =
      new ActiveFaults<>(ServiceFaults.NONE, ServiceFaults::read);
  private final List<BrokenOff> brokenOff = new CopyOnWriteArrayList<>();
  private final HttpServer server =
      HttpServer.start(
          HttpServerConfig.defaults("127.0.0.1", 0),
          new FaultyAnswers(
              FaultyAnswersTests::answer,
              faults,
              (request, framing, bytes, reset) ->
                  brokenOff.add(new BrokenOff(framing, bytes, reset))));

  FaultyAnswersTests() throws IOException {}

  @AfterEach
  void closeServer() {
    server.close();
  }

  @ParameterizedTest
  @EnumSource
  void haveTheFramingThatIsSet(AnswerFraming framing) throws Exception {
    setFaults(Json.object().put("framing", framing.name().toLowerCase().replace('_', '-')));
    for (String path : List.of("/whole", "/stream")) {
      String answer = call(path);
      assertEquals(framing == AnswerFraming.HTTP_1_0, answer.startsWith("HTTP/1.0 200"), answer);
      assertEquals(framing == AnswerFraming.LENGTH, answer.contains("content-length: 10"), answer);
      assertEquals(framing == AnswerFraming.CHUNKS, answer.contains("chunked"), answer);
      assertEquals("first part", body(framing, answer));
    }
    assertEquals(List.of(), brokenOff);
  }

  /**
   * Each byte may be the last one that is sent, that of the head included, and a reset may follow.
   */
  @ParameterizedTest
  @EnumSource
  void breakOffAtAnyByte(AnswerFraming framing) throws Exception {
    setFaults(
        Json.object()
            .put("framing", framing.name().toLowerCase().replace('_', '-'))
            .put("broken_off_share", 1)
            .put("broken_off_within_bytes", 20));
    for (int i = 0; i < BREAKS; i++) {
      String received;
      try {
        received = call(i % 2 == 0 ? "/whole" : "/stream");
      } catch (SocketException e) {
        assertTrue(brokenOff.getLast().reset(), "reset, but should have been closed");
        continue;
      }
      assertEquals(brokenOff.getLast().bytes(), received.length());
    }
    assertEquals(BREAKS, brokenOff.size());
    assertArrayEquals(
        new long[] {BREAKS, BREAKS},
        new long[] {
          brokenOff.stream().filter(each -> each.framing() == framing).count(),
          brokenOff.stream().filter(each -> each.bytes() < 20).count()
        });
    assertEquals(2, brokenOff.stream().map(BrokenOff::reset).distinct().count());
  }

  private static void answer(HttpExchange exchange) {
    if (exchange.path().equals("/whole")) {
      exchange.respond(200, Map.of(), bytes("first part"));
      return;
    }
    ResponseStream stream = exchange.startStream(200, Map.of());
    stream.write(bytes("first "));
    stream.write(bytes("part"));
    stream.finish();
  }

  private void setFaults(ObjectNode changes) {
    faults.update(changes);
  }

  private static String body(AnswerFraming framing, String answer) {
    String body = answer.substring(answer.indexOf(HEAD_END) + HEAD_END.length());
    return framing == AnswerFraming.CHUNKS
        ? body.replaceAll("[0-9a-f]+\r\n(.*)\r\n", "$1").replaceAll("\r\n", "")
        : body;
  }

  private String call(String path) throws IOException {
    try (Socket socket = new Socket(server.address().getAddress(), server.address().getPort())) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(bytes("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
