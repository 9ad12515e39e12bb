package org.teaseldeal.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Random sequences of calls on the persistent connections of one server that repeats its answers,
 * cuts them, and violates the protocol.
 */
@Timeout(120)
class AnswerSequenceTests {
  private static final int SEEDS = 10_000;
  private static final int MAX_CALLS = 6;
  private static final int MAX_REPORTED_VIOLATIONS = 10;

  /** Guards against a call receiving a status or bytes that weren't written as its answer. */
  @Test
  void callsReceiveOnlyWhatWasWrittenForThem() {
    List<String> violations = new ArrayList<>();
    int complete = 0;
    for (int seed = 0; seed < SEEDS; seed++) {
      Sequence sequence = new Sequence(seed);
      sequence.run();
      complete += sequence.completeAnswers;
      violations.addAll(sequence.violations);
    }
    assertEquals(
        List.of(),
        violations.stream().limit(MAX_REPORTED_VIOLATIONS).toList(),
        () -> violations.size() + " violations");
    assertTrue(complete > SEEDS, complete + " complete answers");
  }

  /** How the server marks the end of a body. */
  private enum Framing {
    LENGTH {
      @Override
      String headers(String body) {
        return "Content-Length: %d\r\n".formatted(body.length());
      }
    },
    CHUNKS {
      @Override
      String headers(String body) {
        return "Transfer-Encoding: chunked\r\n";
      }

      @Override
      String encode(String body, Random random) {
        return chunks(body, random);
      }
    },
    LENGTH_AND_CHUNKS {
      @Override
      String headers(String body) {
        return LENGTH.headers(body) + CHUNKS.headers(body);
      }

      @Override
      String encode(String body, Random random) {
        return chunks(body, random);
      }
    },
    CONNECTION_END {
      @Override
      String headers(String body) {
        return "";
      }
    };

    abstract String headers(String body);

    String encode(String body, Random random) {
      return body;
    }

    private static String chunks(String body, Random random) {
      StringBuilder chunks = new StringBuilder();
      for (int from = 0; from < body.length(); ) {
        int to = from + 1 + random.nextInt(body.length() - from);
        chunks.append("%x\r\n%s\r\n".formatted(to - from, body.substring(from, to)));
        from = to;
      }
      return chunks + (random.nextInt(4) == 0 ? "0\r\nTrailer: t\r\n\r\n" : "0\r\n\r\n");
    }
  }

  /**
   * An answer as its server writes it.
   *
   * @param body the body that its call may receive
   */
  private record Answer(
      int status, String mark, Framing framing, String body, String text, int headBytes) {
    boolean endsWithConnection() {
      return framing == Framing.CONNECTION_END;
    }
  }

  /** A connection of the client, held in memory. */
  private static final class Connection {
    final EmbeddedChannel channel = new EmbeddedChannel();
    final HeldWrites writes = new HeldWrites();
    final ClientConnection client;
    final List<Answer> answers = new ArrayList<>();

    Connection(InetSocketAddress address, ConnectionPool pool) {
      channel.pipeline().addLast(writes);
      client = ClientConnection.install(channel, address, pool);
    }

    void runTasks() {
      channel.runPendingTasks();
      channel.runScheduledPendingTasks();
      channel.runPendingTasks();
      channel.releaseOutbound();
    }

    void write(String text) {
      if (channel.isOpen() && !text.isEmpty()) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
        runTasks();
      }
    }

    void end(boolean reset) {
      if (!channel.isOpen()) {
        return;
      }
      if (reset) {
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
      } else {
        channel.pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
      }
      runTasks();
    }
  }

  /** Leaves requests unwritten while it is told to, as full socket buffers do. */
  private static final class HeldWrites extends ChannelOutboundHandlerAdapter {
    private boolean holding;
    private final List<ChannelPromise> held = new ArrayList<>();

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      ReferenceCountUtil.release(message);
      if (holding) {
        held.add(promise);
      } else {
        promise.setSuccess();
      }
    }

    boolean isHolding() {
      return holding;
    }

    void release() {
      holding = false;
      held.forEach(ChannelPromise::trySuccess);
      held.clear();
    }
  }

  /** Records what a call is given. */
  private static final class Receiver implements HttpListener {
    final String name;
    final StringBuilder body = new StringBuilder();
    int status;
    @Nullable String mark;
    @Nullable String outcome;
    boolean cancelled;

    Receiver(String name) {
      this.name = name;
    }

    @Override
    public String callName() {
      return name;
    }

    @Override
    public AnswerMatch match(int answerStatus, Map<String, String> headers) {
      return AnswerMatch.of(headers.get("request"), name);
    }

    @Override
    public void onHead(int answerStatus, Map<String, String> headers) {
      status = answerStatus;
      mark = headers.getOrDefault("mark", "none");
    }

    @Override
    public void onBodyPart(byte[] part) {
      body.append(new String(part, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void onEnd(AnswerEnd end) {
      outcome = "end " + end;
    }

    @Override
    public void onFailure(HttpFailure failure, String detail) {
      outcome = failure + " " + detail;
    }

    boolean endsWithConnection() {
      return ("end " + AnswerEnd.CONNECTION_CLOSED).equals(outcome);
    }

    boolean isComplete() {
      return outcome != null && outcome.startsWith("end");
    }
  }

  /** The calls of one seed. */
  private static final class Sequence {
    private static final String ALPHABET = "HTP/1.0 25\r\n:-aZ;\0\t\u00ff";

    private final int seed;
    private final Random random;
    private final InetSocketAddress address = InetSocketAddress.createUnresolved("server", 1);
    private final ConnectionPool pool = new ConnectionPool(HttpClientConfig.defaults());
    private final List<Connection> connections = new ArrayList<>();
    private final StringBuilder trace = new StringBuilder();
    private int lastMark;
    final List<String> violations = new ArrayList<>();
    int completeAnswers;

    Sequence(int seed) {
      this.seed = seed;
      this.random = new Random(seed);
    }

    void run() {
      int calls = 2 + random.nextInt(MAX_CALLS - 1);
      String name = "1";
      for (int number = 1; number <= calls; number++) {
        Receiver receiver = new Receiver(name);
        call(receiver);
        boolean rejected = receiver.isComplete() && receiver.status == 503;
        // A request that was rejected may follow once more under its name.
        name = rejected && chance(2) ? name : Integer.toString(number + 1);
      }
      connections.forEach(connection -> connection.channel.finishAndReleaseAll());
    }

    private void call(Receiver receiver) {
      String method = chance(6) ? "HEAD" : "POST";
      ClientCall call =
          new ClientCall(
              new HttpCallRequest(
                  "127.0.0.1:1", method, "/", Map.of(), new byte[0], Duration.ofSeconds(1)),
              receiver);
      Connection connection = connect();
      connection.writes.holding = chance(8);
      log("%s %s on %d", method, receiver.name, connections.indexOf(connection));
      connection.client.start(call, () -> receiver.outcome = "NOT_SENT closed before");
      connection.runTasks();
      if (receiver.outcome != null) {
        return;
      }
      Answer own = answer(receiver.name, method.equals("HEAD"));
      receiver.cancelled = chance(20);
      answer(connection, own, receiver.cancelled ? call : null);
      if (receiver.outcome == null) {
        end(connection);
      }
      if (receiver.endsWithConnection() && connection.writes.isHolding()) {
        violation(receiver, own, "the answer ended with the connection of an unwritten request");
      }
      connection.writes.release();
      if (receiver.outcome == null && !receiver.cancelled) {
        violation(receiver, own, "the call has no outcome");
      }
      check(receiver, own);
      completeAnswers += receiver.isComplete() ? 1 : 0;
    }

    private Connection connect() {
      ClientConnection idle = pool.takeIdle(address);
      for (Connection connection : connections) {
        if (connection.client == idle) {
          return connection;
        }
      }
      pool.tryReserve(address);
      connections.add(new Connection(address, pool));
      return connections.getLast();
    }

    /** Lets the server answer a call, with whatever it writes before and after. */
    private void answer(Connection connection, Answer own, @Nullable ClientCall cancelled) {
      String before = chance(2) ? disturbance(connection) : "";
      if (chance(2)) {
        write(connection, before);
        before = "";
      }
      if (cancelled != null) {
        log("cancelled");
        cancelled.cancel();
        connection.runTasks();
      }
      if (chance(8)) {
        write(connection, before + own.text.substring(0, random.nextInt(own.text.length())));
        // An answer that ends with its connection is whole wherever it ends in order.
        end(connection, own.endsWithConnection() || chance(2));
        return;
      }
      connection.answers.add(own);
      if (own.endsWithConnection()) {
        write(connection, before + own.text);
        end(connection);
        return;
      }
      write(connection, before + own.text + (chance(5) ? disturbance(connection) : ""));
      if (chance(5)) {
        write(connection, disturbance(connection));
      }
      if (chance(2)) {
        connection.writes.release();
      }
    }

    private Answer answer(String name, boolean toHead) {
      int[] statuses = {200, 200, 500, 404, 503, 421, 204, 304, 0, 600};
      int status = statuses[random.nextInt(statuses.length - (chance(10) ? 0 : 2))];
      Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
      String mark = "m" + ++lastMark;
      String body = body(mark);
      String head =
          "HTTP/1.1 %03d Status\r\n%sMark: %s\r\n%s\r\n"
              .formatted(
                  status,
                  chance(4) ? "" : "Request: " + name + "\r\n",
                  mark,
                  framing.headers(body));
      boolean bodiless = toHead || status == 204 || status == 304;
      boolean sendsBody = !bodiless || chance(3);
      String text = head + (sendsBody ? framing.encode(body, random) : "");
      return new Answer(status, mark, framing, bodiless ? "" : body, text, head.length());
    }

    private String body(String mark) {
      String body = "body " + mark + " " + "x".repeat(random.nextInt(20));
      return chance(4)
          ? body + "\r\nHTTP/1.1 200 OK\r\nMark: body\r\nContent-Length: 3\r\n\r\nend"
          : body;
    }

    /** Returns bytes that belong to no answer of the call in flight. */
    private String disturbance(Connection connection) {
      StringBuilder text = new StringBuilder();
      for (int i = 1 + random.nextInt(3); i > 0; i--) {
        text.append(
            switch (random.nextInt(8)) {
              case 0 -> "HTTP/1.1 100 Continue\r\n\r\n";
              case 1 -> "HTTP/1.1 103 Early Hints\r\nMark: hints\r\n\r\n";
              case 2 -> chance(4) ? "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" : garbage();
              case 3, 4 -> cut(copy(connection));
              default -> copy(connection);
            });
      }
      return text.toString();
    }

    private String copy(Connection connection) {
      List<Answer> earlier = connection.answers;
      return earlier.isEmpty() ? "" : earlier.get(random.nextInt(earlier.size())).text;
    }

    private String cut(String text) {
      return text.isEmpty() ? "" : text.substring(0, random.nextInt(text.length()));
    }

    private String garbage() {
      StringBuilder bytes = new StringBuilder();
      for (int i = 1 + random.nextInt(12); i > 0; i--) {
        bytes.append(ALPHABET.charAt(random.nextInt(ALPHABET.length())));
      }
      return bytes.toString();
    }

    /** Writes a text in one or several segments. */
    private void write(Connection connection, String text) {
      int from = 0;
      while (from < text.length()) {
        int to = chance(2) ? text.length() : from + 1 + random.nextInt(text.length() - from);
        log("write %s", text.substring(from, to));
        connection.write(text.substring(from, to));
        from = to;
      }
    }

    private void end(Connection connection) {
      end(connection, chance(2));
    }

    private void end(Connection connection, boolean reset) {
      log(reset ? "reset" : "closed");
      connection.end(reset);
    }

    private void check(Receiver receiver, Answer own) {
      if (receiver.mark == null) {
        return;
      }
      if (!own.mark.equals(receiver.mark) || own.status != receiver.status) {
        violation(receiver, own, "the head is another answer's");
      } else if (!own.body.startsWith(receiver.body.toString())) {
        violation(receiver, own, "the body has bytes of another answer");
      } else if (receiver.isComplete() && own.body.length() != receiver.body.length()) {
        violation(receiver, own, "an incomplete body is reported as complete");
      }
    }

    private void violation(Receiver receiver, Answer own, String what) {
      String given =
          "%s %s '%s' %s"
              .formatted(receiver.status, receiver.mark, receiver.body, receiver.outcome);
      violations.add(
          "seed %d: %s: %s instead of %d %s '%s'%n%s"
              .formatted(seed, what, given, own.status, own.mark, own.body, trace));
    }

    private boolean chance(int oneIn) {
      return random.nextInt(oneIn) == 0;
    }

    private void log(String format, Object... values) {
      String line = format.formatted(values);
      trace.append("  ").append(line.replace("\r", "\\r").replace("\n", "\\n")).append('\n');
    }
  }
}
