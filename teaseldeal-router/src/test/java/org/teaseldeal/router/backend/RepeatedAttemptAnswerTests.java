package org.teaseldeal.router.backend;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpClientConfig;
import org.teaseldeal.net.IpAddresses;

/** Tests of attempts on connections on which a backend server answers the one before again. */
@Timeout(30)
class RepeatedAttemptAnswerTests {
  private static final RequestId REQUEST = new RequestId("req-1");
  private static final AttemptId FIRST = new AttemptId(new IncarnationId("r-1.x"), 7);
  private static final AttemptId SECOND = new AttemptId(new IncarnationId("r-1.x"), 8);

  private final LinkedBlockingQueue<InstanceEvent> events = new LinkedBlockingQueue<>();
  private final AtomicInteger connections = new AtomicInteger();
  private final HttpClient client = new HttpClient(HttpClientConfig.defaults());
  private final BackendCalls calls =
      new BackendCalls(client, events::add, new PlainServiceAddresses(), 100, new MetricRegistry());
  private final ServerSocket server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
  private boolean namesAttempts = true;

  RepeatedAttemptAnswerTests() throws IOException {}

  @AfterEach
  void close() throws IOException {
    client.close();
    server.close();
  }

  /** Guards against a copy of a refusal being taken for that of an attempt that runs. */
  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void doNotRefuseTheNextAttempt(int status) throws Exception {
    answerEach(attempt -> attempt.equals(FIRST.toString()) ? refusal(status) : wholeStream());
    calls.start(modelCall(FIRST));
    next(InstanceEvent.AttemptFailed.class);
    calls.start(modelCall(SECOND));
    assertEquals(SECOND, next(InstanceEvent.StreamFinished.class).attempt());
    assertEquals(1, connections.get());
  }

  /** Guards against a copy of an answer reaching the caller of the next attempt. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void areNotPassedOnForTheNextAttempt(boolean named) throws Exception {
    namesAttempts = named;
    answerEach(attempt -> answer(200, "answer to " + attempt));
    calls.start(plainCall(FIRST));
    next(InstanceEvent.PlainAnswerReceived.class);
    calls.start(plainCall(SECOND));
    assertArrayEquals(
        ("answer to " + SECOND).getBytes(StandardCharsets.US_ASCII),
        next(InstanceEvent.PlainAnswerReceived.class).body());
    assertEquals(named ? 1 : 2, connections.get());
  }

  /** Guards against a charge by the usage of another attempt. */
  @Test
  void areNotTheUsageOfTheNextAttempt() throws Exception {
    AtomicInteger answers = new AtomicInteger();
    answerEach(attempt -> usage(answers.incrementAndGet() == 1 ? 3 : 500));
    calls.queryUsage(new InstanceCommand.QueryUsage(FIRST, REQUEST, address()));
    next(InstanceEvent.UsageReported.class);
    calls.queryUsage(new InstanceCommand.QueryUsage(SECOND, REQUEST, address()));
    assertEquals(
        new InstanceEvent.UsageReported(SECOND, Optional.of(new Usage(500, 1))),
        next(InstanceEvent.UsageReported.class));
  }

  /**
   * Answers the requests on each connection. The second one there is sent the first one's answer
   * again before its own.
   *
   * @param answers returns the answer to an attempt, without the header that names it
   */
  private void answerEach(UnaryOperator<String> answers) {
    Thread.ofVirtual()
        .start(
            () -> {
              while (!server.isClosed()) {
                try {
                  Socket socket = server.accept();
                  connections.incrementAndGet();
                  Thread.ofVirtual().start(() -> serve(socket, answers));
                } catch (IOException e) {
                  return;
                }
              }
            });
  }

  private void serve(Socket socket, UnaryOperator<String> answers) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String first = named(readRequest(in), answers);
      write(socket, first);
      String second = named(readRequest(in), answers);
      write(socket, first + second);
      in.read();
    } catch (IOException e) {
      // The client closed the connection, or the test has ended.
    }
  }

  private String named(String attempt, UnaryOperator<String> answers) {
    String name = namesAttempts ? "\r\nattempt-id: " + attempt : "";
    return answers.apply(attempt).replaceFirst("\r\n", name + "\r\n");
  }

  /** Reads a request and returns the attempt that it names. */
  private static String readRequest(BufferedReader in) throws IOException {
    String attempt = "";
    int length = 0;
    String line = in.readLine();
    while (line != null && !line.isEmpty()) {
      String header = line.toLowerCase(Locale.ROOT);
      String value = header.substring(header.indexOf(':') + 1).strip();
      if (header.startsWith("attempt-id:")) {
        attempt = value;
      } else if (header.startsWith("content-length:")) {
        length = Integer.parseInt(value);
      }
      line = in.readLine();
    }
    if (line == null || in.skip(length) < length) {
      throw new IOException("the connection ended");
    }
    return attempt;
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static String answer(int status, String body) {
    return "HTTP/1.1 %d status\r\ncontent-length: %d\r\n\r\n%s"
        .formatted(status, body.length(), body);
  }

  private static String refusal(int status) {
    return answer(status, "not run");
  }

  private static String wholeStream() {
    return answer(
        200,
        """
        data: {"attempt":"%s","position":0,"choices":[],\
        "usage":{"prompt_tokens":3,"completion_tokens":0}}

        data: [DONE]

        """
            .formatted(SECOND));
  }

  private static String usage(int inputTokens) {
    return answer(
        200,
        """
        {"state":"finished","usage":{"prompt_tokens":%d,"completion_tokens":1}}"""
            .formatted(inputTokens));
  }

  private String address() {
    return IpAddresses.format((InetSocketAddress) server.getLocalSocketAddress());
  }

  private InstanceCommand.StartAttempt modelCall(AttemptId attempt) {
    byte[] body = "{\"stream\":true}".getBytes(StandardCharsets.US_ASCII);
    return start(attempt, new Payload.ModelCall(body, 10, OptionalLong.empty(), true));
  }

  private InstanceCommand.StartAttempt plainCall(AttemptId attempt) {
    return start(attempt, new Payload.PlainCall("PUT", "/x", "text/plain", new byte[1]));
  }

  private InstanceCommand.StartAttempt start(AttemptId attempt, Payload payload) {
    return new InstanceCommand.StartAttempt(
        attempt,
        REQUEST,
        new BackendServerId("e1"),
        address(),
        payload,
        "m",
        5,
        2,
        OptionalLong.empty());
  }

  private <T extends InstanceEvent> T next(Class<T> type) throws InterruptedException {
    InstanceEvent event = Objects.requireNonNull(events.poll(20, TimeUnit.SECONDS), "no event");
    if (!type.isInstance(event)) {
      throw new AssertionError("was %s, expected %s".formatted(event, type.getSimpleName()));
    }
    return type.cast(event);
  }
}
