package org.teaseldeal.gateway.flow;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.gateway.fake.FakeDialect;
import org.teaseldeal.gateway.fake.FakeExchange;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.ResponseStream;

/**
 * Tests that each answer is one server's, whatever the order in which the servers of two attempts
 * answer, fall silent and fail.
 */
class InterleavedAttemptsTests {
  private static final int SEEDS = 10_000;

  /** The least number of seeds that have to bring two servers' answers together. */
  private static final int MIN_OVERLAPS = SEEDS / 20;

  private static final int MAX_STEPS = 60;
  private static final int EVENTS = 4;
  private static final String SERVER = "server";
  private static final Duration STEP = Duration.ofMillis(50);
  private static final Duration SILENCE = Duration.ofMillis(3_100);
  private static final Duration PAST_DEADLINE = Duration.ofSeconds(6);
  private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: (\\d+)\n\n");

  /** How a server treats the request that it receives. */
  private enum Treatment {
    WHOLE,
    BROKEN,
    LOST,
    NOT_RUN,
    OTHER_SERVER,
    NOT_SENT,
    PLAIN;

    private static final List<Treatment> DRAWN =
        List.of(WHOLE, WHOLE, WHOLE, BROKEN, BROKEN, LOST, NOT_RUN, OTHER_SERVER, NOT_SENT, PLAIN);

    boolean provesNotRun() {
      return this == NOT_RUN || this == OTHER_SERVER || this == NOT_SENT;
    }
  }

  /** The statuses with which the gateway says that a request has not run, or that it may have. */
  private static final List<Integer> NOT_RUN_STATUSES = List.of(429, 503);

  private static final List<Integer> FAILURE_STATUSES = List.of(502, 504);

  private static final List<Integer> STATUSES = List.of(200, 201, 404, 500, 502);

  /** The answer of one server to one attempt, delivered in steps. */
  private static final class ServerAnswer {
    private final int number;
    private final GatewayFixture.SentRequest request;
    private final Treatment treatment;
    private final boolean stream;
    private final int status;
    private final int firstEvent;
    private final Deque<Runnable> steps = new ArrayDeque<>();
    private boolean begun;

    ServerAnswer(
        int number, GatewayFixture.SentRequest request, boolean streamRoute, Random random) {
      this.number = number;
      this.request = request;
      this.treatment = Treatment.DRAWN.get(random.nextInt(Treatment.DRAWN.size()));
      this.stream = streamRoute && treatment != Treatment.PLAIN;
      this.status = stream ? 200 : STATUSES.get(random.nextInt(STATUSES.size()));
      String resumedAfter = request.request().headers().get(FakeDialect.RESUME_HEADER);
      this.firstEvent = resumedAfter == null ? 0 : Integer.parseInt(resumedAfter) + 1;
      switch (treatment) {
        case WHOLE, BROKEN, PLAIN -> addAnswer(random);
        case LOST -> steps.add(request::loseAnswer);
        case NOT_RUN -> steps.add(request::rejectNotRun);
        case OTHER_SERVER -> steps.add(() -> request.answer(421));
        case NOT_SENT ->
            steps.add(() -> request.listener().onFailure(HttpFailure.NOT_SENT, "refused"));
      }
    }

    private void addAnswer(Random random) {
      steps.add(
          () ->
              request
                  .listener()
                  .onHead(
                      status,
                      Map.of(
                          SERVER,
                          Integer.toString(number),
                          "content-type",
                          stream ? "text/event-stream" : "text/plain")));
      List<String> parts = new ArrayList<>();
      if (stream) {
        for (int id = firstEvent; id < EVENTS; id++) {
          if (random.nextInt(4) == 0) {
            parts.add(": wait\n\n");
          }
          parts.add("id: %d\ndata: %d\n\n".formatted(id, number));
        }
      } else {
        parts.add("body of ");
        parts.add(Integer.toString(number));
      }
      boolean broken = treatment == Treatment.BROKEN;
      int delivered = broken ? random.nextInt(parts.size() + 1) : parts.size();
      parts.subList(0, delivered).forEach(part -> steps.add(() -> deliver(part)));
      steps.add(
          broken
              ? () -> request.listener().onFailure(HttpFailure.BROKEN_ANSWER, "reset")
              : () -> request.listener().onEnd(AnswerEnd.LAST_CHUNK));
    }

    private void deliver(String part) {
      request.listener().onBodyPart(part.getBytes(UTF_8));
    }

    boolean isOpen() {
      return !steps.isEmpty() && !request.wasCancelled();
    }

    void step() {
      begun = true;
      steps.remove().run();
    }

    boolean isWhole() {
      return steps.isEmpty() && treatment != Treatment.BROKEN;
    }

    boolean mayHaveRun() {
      return !treatment.provesNotRun() || !steps.isEmpty();
    }
  }

  /** A caller that notes whether its answer is a stream. */
  private static final class Caller extends FakeExchange {
    private boolean streamed;

    Caller(String path) {
      super(path);
    }

    @Override
    public ResponseStream startStream(int status, Map<String, String> headers) {
      streamed = true;
      return super.startStream(status, headers);
    }

    boolean hasWholeAnswer() {
      return streamed ? finished() || aborted() : status() != 0 || aborted();
    }

    String text() {
      return new String(answer(), UTF_8);
    }
  }

  /** One request and the servers' answers to it. */
  private static final class Run {
    private final GatewayFixture gateway = new GatewayFixture();
    private final List<ServerAnswer> answers = new ArrayList<>();
    private final Random random;
    private final boolean streamRoute;
    private final Caller caller;
    private boolean overlapped;

    Run(String path, long seed) {
      random = new Random(seed);
      streamRoute = path.equals(GatewayFixture.LONG_STREAM_PATH);
      for (int i = 1; i <= 4; i++) {
        gateway.list("server-" + i, "10.0.0.%d:80".formatted(i), Instant.EPOCH);
      }
      caller = new Caller(path);
      gateway.dispatcher.handle(caller);
    }

    void play() {
      for (int i = 0; i < MAX_STEPS && !caller.hasWholeAnswer(); i++) {
        List<ServerAnswer> open = openAnswers();
        overlapped |= open.stream().filter(answer -> answer.begun).count() > 1;
        if (open.isEmpty() || random.nextInt(6) == 0) {
          advance(random.nextInt(3) == 0 ? SILENCE : STEP);
        } else {
          open.get(random.nextInt(open.size())).step();
        }
      }
      advance(PAST_DEADLINE);
    }

    private List<ServerAnswer> openAnswers() {
      while (answers.size() < gateway.sent.size()) {
        int number = answers.size();
        answers.add(new ServerAnswer(number, gateway.sent.get(number), streamRoute, random));
      }
      return answers.stream().filter(ServerAnswer::isOpen).toList();
    }

    private void advance(Duration time) {
      for (Duration passed = Duration.ZERO;
          passed.compareTo(time) < 0 && !caller.hasWholeAnswer();
          passed = passed.plus(STEP)) {
        gateway.clock.advance(STEP);
        gateway.dispatcher.tick();
      }
    }

    void check() {
      openAnswers();
      assertTrue(caller.hasWholeAnswer(), "no answer");
      String server = caller.answerHeaders().get(SERVER);
      if (caller.streamed) {
        assertEquals(200, caller.status());
        checkEvents(answers.get(Integer.parseInt(Objects.requireNonNull(server))));
      } else if (server != null) {
        ServerAnswer answered = answers.get(Integer.parseInt(server));
        assertTrue(answered.isWhole(), "not whole");
        assertEquals(answered.status, caller.status());
        assertEquals(answered.stream ? "" : "body of " + server, caller.text());
      } else {
        checkRefusal();
      }
    }

    /** Each event is the next one, of a server that was asked for what comes from there on. */
    private void checkEvents(ServerAnswer first) {
      ServerAnswer current = first;
      int next = 0;
      Matcher event = EVENT.matcher(caller.text().replace(": wait\n\n", ""));
      int checked = 0;
      while (event.find()) {
        assertEquals(checked, event.start(), "other bytes between events");
        checked = event.end();
        assertEquals(next, Integer.parseInt(event.group(1)), "id");
        ServerAnswer server = answers.get(Integer.parseInt(event.group(2)));
        if (server != current) {
          assertEquals(next, server.firstEvent, "goes on at another event");
        }
        current = server;
        next++;
      }
      assertEquals(checked, caller.text().replace(": wait\n\n", "").length());
      if (caller.finished()) {
        assertEquals(EVENTS, next, "ends early");
        assertTrue(answers.stream().anyMatch(answer -> answer.stream && answer.isWhole()));
      }
    }

    private void checkRefusal() {
      if (NOT_RUN_STATUSES.contains(caller.status())) {
        assertTrue(answers.stream().noneMatch(ServerAnswer::mayHaveRun), "may have run");
      } else {
        assertTrue(FAILURE_STATUSES.contains(caller.status()), "status " + caller.status());
      }
    }
  }

  /**
   * Guards against an answer with the status of one server and the body of another, the end of one
   * stream taken for that of another, and a refusal that says that a request has not run which may
   * have.
   */
  @ParameterizedTest
  @ValueSource(strings = {GatewayFixture.LONG_STREAM_PATH, GatewayFixture.OFTEN_REPEATABLE_PATH})
  void passOnTheAnswerOfOneServer(String path) {
    int overlaps = 0;
    for (long seed = 0; seed < SEEDS; seed++) {
      Run run = new Run(path, seed);
      try {
        run.play();
        run.check();
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError("seed " + seed, e);
      }
      overlaps += run.overlapped ? 1 : 0;
    }
    assertTrue(overlaps >= MIN_OVERLAPS, "overlapping answers in %d seeds".formatted(overlaps));
  }
}
