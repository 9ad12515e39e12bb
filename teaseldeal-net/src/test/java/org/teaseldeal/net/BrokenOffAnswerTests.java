package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of answers that end at any byte, with each framing, by a close or by a reset. */
@Timeout(60)
class BrokenOffAnswerTests {
  private static final String BODY = "all of it";

  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private final LinkedBlockingQueue<String> recorded = new LinkedBlockingQueue<>();

  @AfterEach
  void closeClient() {
    client.close();
  }

  static Stream<Arguments> framingsAndEnds() {
    return Stream.of(AnswerFraming.values())
        .flatMap(framing -> Stream.of(Arguments.of(framing, false), Arguments.of(framing, true)));
  }

  /**
   * An answer that ends before its framing says so must not be reported as complete, wherever it
   * ends.
   */
  @ParameterizedTest
  @MethodSource("framingsAndEnds")
  void areNotReportedAsComplete(AnswerFraming framing, boolean reset) throws Exception {
    byte[] head = framing.head(200, Map.of(), BODY.length());
    byte[] answer =
        framing.encode(
            200,
            Map.of(),
            "all ".getBytes(StandardCharsets.US_ASCII),
            "of it".getBytes(StandardCharsets.US_ASCII));
    List<String> violations = new ArrayList<>();
    for (int bytes = 0; bytes < answer.length; bytes++) {
      boolean ended = framing.endsWithConnection() && !reset && bytes >= head.length;
      String end = endOf(Arrays.copyOf(answer, bytes), reset);
      if (end.equals("end") != ended) {
        violations.add("%s after %d of %d bytes".formatted(end, bytes, answer.length));
      }
    }
    assertEquals(List.of(), violations);
    assertEquals("end", endOf(answer, false));
  }

  /** Sends the answer and returns what the client reports as its end. */
  private String endOf(byte[] answer, boolean reset) throws Exception {
    try (ScriptedServer server =
        new ScriptedServer(
            socket -> {
              ScriptedServer.readRequest(socket);
              socket.getOutputStream().write(answer);
              socket.setSoLinger(reset, 0);
            })) {
      client.send(
          new HttpCallRequest(
              IpAddresses.format(server.address()),
              "GET",
              "/",
              Map.of(),
              new byte[0],
              Duration.ofSeconds(10)),
          new RecordingListener(recorded));
      String event = recorded.take();
      while (event.startsWith("head") || event.startsWith("part")) {
        event = recorded.take();
      }
      return event;
    }
  }
}
