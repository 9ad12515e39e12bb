package org.teaseldeal.bench.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.bench.scenario.Flow;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpListener;

/** Receives the answer to one request and reports its outcome exactly once. */
final class AnswerListener implements HttpListener {
  /**
   * The time after the caller's timeout in which an answer still counts as late. A request without
   * an answer by then counts as silent.
   */
  private static final Duration LATE_ANSWER_MARGIN = Duration.ofSeconds(5);

  private static final String EVENT_END = "\n\n";
  private static final ObjectMapper JSON = new ObjectMapper();

  private final Arrival arrival;
  private final String prompt;
  private final AnswerCheck check;
  private final long dueNanos;
  private final LongSupplier nanos;
  private final Consumer<Sample> done;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final StringBuilder events = new StringBuilder();
  private final List<Duration> gaps = new ArrayList<>();
  private @Nullable Duration toFirst;
  private long lastFrameNanos;
  private int status;
  private @Nullable String requestId;
  private boolean streamed;
  private boolean receivedDone;
  private @Nullable String streamError;
  private boolean ended;

  AnswerListener(
      Arrival arrival, String prompt, long dueNanos, LongSupplier nanos, Consumer<Sample> done) {
    this.arrival = arrival;
    this.prompt = prompt;
    this.check = new AnswerCheck(prompt);
    this.dueNanos = dueNanos;
    this.nanos = nanos;
    this.done = done;
  }

  static Duration maxWait(Flow flow) {
    return flow.timeout().plus(LATE_ANSWER_MARGIN);
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    this.status = status;
    requestId = headers.get("request-id");
    streamed = headers.getOrDefault("content-type", "").startsWith("text/event-stream");
  }

  @Override
  public void onBodyPart(byte[] part) {
    if (!streamed) {
      body.writeBytes(part);
      return;
    }
    // Frames are ASCII, so no character is split between two parts.
    events.append(new String(part, StandardCharsets.UTF_8));
    for (int end = events.indexOf(EVENT_END); end >= 0; end = events.indexOf(EVENT_END)) {
      onEvent(events.substring(0, end));
      events.delete(0, end + EVENT_END.length());
    }
  }

  @Override
  public void onEnd(AnswerEnd end) {
    if (status != 200) {
      finishWithError();
    } else if (streamed) {
      finishComplete(
          receivedDone ? check.problem(arrival.flow().outputTokens()) : Optional.of("no [DONE]"));
    } else if (arrival.flow().kind() == Flow.Kind.MODEL) {
      check.onCompleteAnswer(body.toString(StandardCharsets.UTF_8));
      finishComplete(check.problem(arrival.flow().outputTokens()));
    } else {
      check.onPlain(body.toString(StandardCharsets.UTF_8), prompt);
      finishComplete(check.problem(0));
    }
  }

  @Override
  public void onFailure(HttpFailure failure, String detail) {
    String cause = streamError == null ? "connection-" + failure.name().toLowerCase() : streamError;
    Outcome outcome =
        switch (failure) {
          case NOT_SENT -> Outcome.REFUSED;
          case NO_ANSWER -> Outcome.SILENT;
          case BROKEN_ANSWER -> Outcome.BROKEN;
        };
    finish(outcome, Optional.of(cause));
  }

  private void onEvent(String event) {
    boolean error = event.startsWith("event: error");
    String data = event.substring(event.indexOf("data: ") + "data: ".length());
    if (error) {
      streamError = label(data).orElse("broken");
    } else if (data.equals("[DONE]")) {
      receivedDone = true;
    } else {
      long before = check.frames();
      check.onChunk(data);
      if (check.frames() > before) {
        onFrame();
      }
    }
  }

  private void onFrame() {
    long now = nanos.getAsLong();
    if (toFirst == null) {
      toFirst = Duration.ofNanos(now - dueNanos);
    } else {
      gaps.add(Duration.ofNanos(now - lastFrameNanos));
    }
    lastFrameNanos = now;
  }

  private void finishWithError() {
    String text = body.toString(StandardCharsets.UTF_8);
    Optional<String> run = field(text, "run");
    Outcome outcome =
        run.filter(value -> value.equals("not-run")).isPresent() ? Outcome.REFUSED : Outcome.FAILED;
    finish(outcome, Optional.of(label(text).orElse("status-" + status)));
  }

  private void finishComplete(Optional<String> fault) {
    if (fault.isPresent()) {
      finish(Outcome.WRONG, fault);
      return;
    }
    if (toFirst == null) {
      toFirst = elapsed();
    }
    boolean inTime = elapsed().compareTo(arrival.flow().timeout()) <= 0;
    finish(inTime ? Outcome.IN_TIME : Outcome.LATE, Optional.empty());
  }

  private void finish(Outcome outcome, Optional<String> cause) {
    if (ended) {
      return;
    }
    ended = true;
    done.accept(
        new Sample(
            arrival,
            outcome,
            Optional.ofNullable(requestId),
            cause,
            Optional.ofNullable(toFirst),
            elapsed(),
            gaps,
            check.frames()));
  }

  private Duration elapsed() {
    return Duration.ofNanos(nanos.getAsLong() - dueNanos);
  }

  private static Optional<String> label(String problem) {
    return field(problem, "type").map(type -> type.substring(type.lastIndexOf(':') + 1));
  }

  private static Optional<String> field(String json, String name) {
    try {
      JsonNode value = JSON.readTree(json).path(name);
      return value.isTextual() ? Optional.of(value.textValue()) : Optional.empty();
    } catch (JsonProcessingException e) {
      return Optional.empty();
    }
  }
}
