package org.teaseldeal.router.backend;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.CallMatcher;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.router.json.Json;

/** Executes the instance's commands for attempts, and publishes their results as events. */
public final class BackendCalls {
  /**
   * How long an attempt waits for the head of the answer. The instance supervises the progress of
   * attempts itself, by the current settings; this timeout only ensures that no connection is held
   * forever.
   */
  private static final Duration RESPONSE_HEAD_TIMEOUT = Duration.ofMinutes(10);

  private static final Duration USAGE_QUERY_TIMEOUT = Duration.ofSeconds(2);

  /** The header by which requests name their attempt, and answers the attempt they belong to. */
  private static final String ATTEMPT_ID = "Attempt-Id";

  private static final byte[] NO_BODY = new byte[0];

  private final HttpClient client;
  private final Consumer<InstanceEvent> events;
  private final PlainServiceAddresses plainAddresses;
  private final int maxAnswerBytes;
  private final Map<AttemptId, RunningAttempt> runningAttempts = new ConcurrentHashMap<>();

  /**
   * Creates an executor of commands.
   *
   * @param events receives the events of each attempt in order; called from any thread
   * @param plainAddresses the known addresses of plain services
   * @param maxAnswerBytes the largest answer of a plain service that is accepted
   */
  public BackendCalls(
      HttpClient client,
      Consumer<InstanceEvent> events,
      PlainServiceAddresses plainAddresses,
      int maxAnswerBytes,
      MetricRegistry metrics) {
    this.client = client;
    this.events = events;
    this.plainAddresses = plainAddresses;
    this.maxAnswerBytes = maxAnswerBytes;
    metrics.gauge("attempts_running", () -> runningAttempts::size);
  }

  /** Starts or resumes an attempt. */
  public void start(InstanceCommand.StartAttempt command) {
    LogLine.of("attempt started")
        .with("request", command.request())
        .with("attempt", command.attempt())
        .with("server", command.server())
        .debug();
    AttemptId attempt = command.attempt();
    RunningAttempt started = new RunningAttempt();
    runningAttempts.put(attempt, started);
    started.setCall(client.send(createRequest(command), createListener(command, started)));
  }

  /** Stops an attempt. An engine is sent a cancellation, whose answer reports the tokens used. */
  public void cancel(InstanceCommand.CancelAttempt command) {
    stop(command.attempt());
    if (!plainAddresses.contains(command.address())) {
      requestUsage("DELETE", command.attempt(), command.request(), command.address());
    }
  }

  /** Closes an attempt's connection without cancelling the request at the backend server. */
  public void drop(InstanceCommand.DropAttempt command) {
    stop(command.attempt());
  }

  /** Queries an engine for the tokens that a request has used. */
  public void queryUsage(InstanceCommand.QueryUsage command) {
    if (plainAddresses.contains(command.address())) {
      events.accept(
          new InstanceEvent.UsageQueryFailed(
              command.attempt(), "a plain service reports no usage"));
      return;
    }
    requestUsage("GET", command.attempt(), command.request(), command.address());
  }

  /** Returns what matches the answers of backend servers with an attempt. */
  static CallMatcher matcher(AttemptId attempt) {
    return new CallMatcher(ATTEMPT_ID, attempt.toString());
  }

  private void stop(AttemptId attempt) {
    RunningAttempt removed = runningAttempts.remove(attempt);
    if (removed != null) {
      removed.cancel();
    }
  }

  private AttemptListener createListener(
      InstanceCommand.StartAttempt command, RunningAttempt started) {
    AttemptId attempt = command.attempt();
    Runnable onCompletion = () -> runningAttempts.remove(attempt);
    return switch (command.payload()) {
      case Payload.ModelCall model ->
          new EngineListener(
              attempt, command.resumeFrom().isPresent(), events, onCompletion, started::cancel);
      case Payload.PlainCall plain ->
          new PlainServiceListener(attempt, maxAnswerBytes, events, onCompletion, started::cancel);
    };
  }

  private HttpCallRequest createRequest(InstanceCommand.StartAttempt command) {
    return switch (command.payload()) {
      case Payload.ModelCall model -> engineRequest(command, model);
      case Payload.PlainCall plain -> plainRequest(command, plain);
    };
  }

  private static HttpCallRequest engineRequest(
      InstanceCommand.StartAttempt command, Payload.ModelCall model) {
    if (command.resumeFrom().isPresent()) {
      return new HttpCallRequest(
          command.address(),
          "GET",
          "%s/stream?from=%d"
              .formatted(requestPath(command.request()), command.resumeFrom().getAsLong()),
          Map.of(ATTEMPT_ID, command.attempt().toString(), "Request-Id", command.request().value()),
          NO_BODY,
          RESPONSE_HEAD_TIMEOUT);
    }
    return new HttpCallRequest(
        command.address(),
        "POST",
        "/v1/chat/completions",
        Map.of(
            "Content-Type",
            "application/json",
            "Request-Id",
            command.request().value(),
            ATTEMPT_ID,
            command.attempt().toString(),
            "Priority",
            Integer.toString(command.priority())),
        withModelAndOutputLimit(model.body(), command.model(), command.maxOutputTokens()),
        RESPONSE_HEAD_TIMEOUT);
  }

  /**
   * Inserts the model name and the output limit in front of the other fields of {@code body}, which
   * must be a JSON object that is not empty.
   */
  static byte[] withModelAndOutputLimit(byte[] body, String model, long maxOutputTokens) {
    byte[] fields =
        Json.bytes(Json.object().put("model", model).put("max_tokens", maxOutputTokens));
    ByteArrayOutputStream joined = new ByteArrayOutputStream(fields.length + body.length);
    joined.write(fields, 0, fields.length - 1);
    joined.write(',');
    joined.write(body, 1, body.length - 1);
    return joined.toByteArray();
  }

  private HttpCallRequest plainRequest(
      InstanceCommand.StartAttempt command, Payload.PlainCall plain) {
    plainAddresses.add(command.address());
    Map<String, String> ids =
        Map.of("Request-Id", command.request().value(), ATTEMPT_ID, command.attempt().toString());
    Map<String, String> headers = new HashMap<>(ids);
    if (!plain.contentType().isEmpty()) {
      headers.put("Content-Type", plain.contentType());
    }
    return new HttpCallRequest(
        command.address(),
        plain.method(),
        plain.path(),
        headers,
        plain.body(),
        RESPONSE_HEAD_TIMEOUT);
  }

  private void requestUsage(String method, AttemptId attempt, RequestId request, String address) {
    client
        .fetch(
            new HttpCallRequest(
                address,
                method,
                requestPath(request),
                Map.of(ATTEMPT_ID, attempt.toString()),
                NO_BODY,
                USAGE_QUERY_TIMEOUT),
            matcher(attempt))
        .whenComplete((answer, failure) -> events.accept(usageEvent(attempt, answer, failure)));
  }

  private static InstanceEvent usageEvent(
      AttemptId attempt, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (answer == null) {
      return new InstanceEvent.UsageQueryFailed(attempt, String.valueOf(failure));
    }
    return switch (answer.status()) {
      case 200 -> parseUsage(attempt, answer.body());
      case 404 -> new InstanceEvent.UsageReported(attempt, Optional.empty());
      default ->
          new InstanceEvent.UsageQueryFailed(attempt, "the engine answered " + answer.status());
    };
  }

  private static InstanceEvent parseUsage(AttemptId attempt, byte[] body) {
    try {
      ObjectNode state = Json.readObject(body);
      if (state.path("state").asText("").equals("running")) {
        // The tokens used so far are fewer than those that the request will have used in the end.
        return new InstanceEvent.UsageQueryFailed(attempt, "the request is still running");
      }
      Usage usage = EngineListener.parseUsage(state.path("usage"));
      return new InstanceEvent.UsageReported(attempt, Optional.of(usage));
    } catch (IllegalArgumentException e) {
      return new InstanceEvent.UsageQueryFailed(attempt, String.valueOf(e.getMessage()));
    }
  }

  private static String requestPath(RequestId request) {
    return "/v1/requests/" + URLEncoder.encode(request.value(), StandardCharsets.UTF_8);
  }
}
