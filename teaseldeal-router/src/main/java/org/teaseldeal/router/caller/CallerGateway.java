package org.teaseldeal.router.caller;

import com.codahale.metrics.MetricRegistry;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Result;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.CallId;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.net.HttpRejection;
import org.teaseldeal.router.settings.RouterLimits;

/** Submits the requests of callers to the instance, and writes the instance's answers to them. */
public final class CallerGateway implements HttpHandler {
  private final Map<CallId, CallerAnswer> calls = new ConcurrentHashMap<>();
  private final AtomicLong lastCallId = new AtomicLong();
  private final RouterLimits limits;
  private final Consumer<InstanceEvent> events;
  private final MetricRegistry metrics;

  /** Creates a gateway; {@code events} receives a caller's events in order, from any thread. */
  public CallerGateway(
      RouterLimits limits, Consumer<InstanceEvent> events, MetricRegistry metrics) {
    this.limits = limits;
    this.events = events;
    this.metrics = metrics;
    metrics.gauge("callers_waiting", () -> calls::size);
  }

  @Override
  public void handle(HttpExchange exchange) {
    Optional<String> allowed = RequestReader.allowedMethodsOnMismatch(exchange);
    if (allowed.isPresent()) {
      countRejection(ErrorKind.METHOD_NOT_ALLOWED);
      ProblemAnswer.sendNotAllowed(exchange, allowed.get());
      return;
    }
    switch (RequestReader.read(exchange)) {
      case Result.Ok<ParsedRequest>(ParsedRequest request) -> submit(exchange, request);
      case Result.Err<ParsedRequest>(Problem problem) -> reject(exchange, problem);
    }
  }

  /** Returns the answer to a request that the server rejected before it was read completely. */
  public HttpAnswer answer(HttpRejection rejection) {
    Problem problem = ProblemAnswer.ofRejection(rejection);
    countRejection(problem.kind());
    return ProblemAnswer.of(problem, Optional.empty());
  }

  /** Executes {@link InstanceCommand.RefuseCall}. */
  public void refuse(InstanceCommand.RefuseCall command) {
    CallerAnswer answer = calls.remove(command.call());
    if (answer != null) {
      answer.refuse(command.request(), command.problem());
      logProblem(command.request(), command.problem());
    }
  }

  /** Executes {@link InstanceCommand.SendFrame}. */
  public void sendFrame(InstanceCommand.SendFrame command) {
    CallerAnswer answer = calls.get(command.call());
    if (answer == null) {
      return;
    }
    try {
      if (answer.writeFrame(command.request(), command.data())) {
        return;
      }
      metrics.counter("slow_callers").inc();
      LogLine.of("answer aborted: the caller reads too slowly or the answer is too large")
          .with("request", command.request())
          .info();
    } catch (IllegalArgumentException e) {
      // The answer can't be completed without this frame, so the caller must not wait for its end.
      answer.fail(command.request(), Problem.of(ErrorKind.INTERNAL, "a frame could not be read"));
      LogLine.of("request failed: a frame from the engine can't be read")
          .with("request", command.request())
          .error(e);
    }
    calls.remove(command.call());
    events.accept(new InstanceEvent.CallerDisconnected(command.call()));
  }

  /** Executes {@link InstanceCommand.FinishStream}. */
  public void finishStream(InstanceCommand.FinishStream command) {
    CallerAnswer answer = calls.remove(command.call());
    if (answer != null) {
      answer.finish(command.request(), command.usage());
    }
  }

  /** Executes {@link InstanceCommand.AbortStream}. */
  public void abortStream(InstanceCommand.AbortStream command) {
    CallerAnswer answer = calls.remove(command.call());
    if (answer != null) {
      answer.fail(command.request(), command.problem());
      logProblem(command.request(), command.problem());
    }
  }

  /** Executes {@link InstanceCommand.AnswerPlain}. */
  public void answerPlain(InstanceCommand.AnswerPlain command) {
    CallerAnswer answer = calls.remove(command.call());
    if (answer != null) {
      answer.respond(command.request(), command.status(), command.contentType(), command.body());
    }
  }

  private void submit(HttpExchange exchange, ParsedRequest request) {
    CallId call = new CallId(lastCallId.incrementAndGet());
    calls.put(call, createAnswer(exchange, request.payload()));
    events.accept(
        new InstanceEvent.CallerRequest(
            call,
            request.token(),
            request.service(),
            request.idempotencyKey(),
            request.timeout(),
            request.payload()));
    // Registered last, so that the instance never receives the event that a caller is gone before
    // it receives the request of that caller.
    exchange.onCallerDisconnect(() -> onCallerDisconnected(call));
  }

  private void onCallerDisconnected(CallId call) {
    if (calls.remove(call) != null) {
      events.accept(new InstanceEvent.CallerDisconnected(call));
    }
  }

  private CallerAnswer createAnswer(HttpExchange exchange, Payload payload) {
    return payload instanceof Payload.ModelCall model && model.stream()
        ? new StreamedAnswer(exchange, limits.maxStreamBufferBytes())
        : new AggregatedAnswer(exchange, limits.maxAnswerBytes());
  }

  private void reject(HttpExchange exchange, Problem problem) {
    countRejection(problem.kind());
    ProblemAnswer.send(exchange, problem, Optional.empty());
  }

  private void countRejection(ErrorKind kind) {
    metrics.counter("turned_away_" + kind.label().replace('-', '_')).inc();
  }

  private static void logProblem(RequestId request, Problem problem) {
    LogLine.of("error sent to caller")
        .with("request", request)
        .with("error", problem.kind().label())
        .with("detail", problem.detail())
        .info();
  }
}
