package org.teaseldeal.router.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpRejection;
import org.teaseldeal.router.json.Json;

/** Converts a {@link Problem} to the HTTP answer that is sent to the caller. */
public final class ProblemAnswer {
  private static final String CONTENT_TYPE = "application/problem+json";
  private static final long MILLIS_PER_SECOND = 1_000;

  private ProblemAnswer() {}

  /** Returns the answer with its headers and body. */
  public static HttpAnswer of(Problem problem, Optional<RequestId> request) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Content-Type", CONTENT_TYPE);
    request.ifPresent(id -> headers.put("Request-Id", id.value()));
    problem
        .retryAfter()
        .ifPresent(
            delay ->
                headers.put(
                    "Retry-After",
                    Long.toString(Math.ceilDiv(delay.toMillis(), MILLIS_PER_SECOND))));
    return new HttpAnswer(problem.kind().status(), headers, Json.bytes(json(problem, request)));
  }

  /** Returns the body of the answer. */
  static ObjectNode json(Problem problem, Optional<RequestId> request) {
    ErrorKind kind = problem.kind();
    ObjectNode body =
        Json.object()
            .put("type", "urn:teaseldeal:error:" + kind.label())
            .put("title", kind.title())
            .put("status", kind.status())
            .put("detail", problem.detail())
            .put("run", problem.run().label());
    request.ifPresent(id -> body.put("request_id", id.value()));
    problem.retryAfter().ifPresent(delay -> body.put("retry_after_ms", delay.toMillis()));
    return body;
  }

  /** Answers a request with a problem. */
  public static void send(HttpExchange exchange, Problem problem, Optional<RequestId> request) {
    HttpAnswer answer = of(problem, request);
    exchange.respond(answer.status(), answer.headers(), answer.body());
  }

  /** Answers a request whose method is not supported at its path. */
  public static void sendNotAllowed(HttpExchange exchange, String allowed) {
    HttpAnswer answer =
        of(
            Problem.of(
                ErrorKind.METHOD_NOT_ALLOWED,
                "the method was %s, expected %s".formatted(exchange.method(), allowed)),
            Optional.empty());
    Map<String, String> headers = new LinkedHashMap<>(answer.headers());
    headers.put("Allow", allowed);
    exchange.respond(answer.status(), headers, answer.body());
  }

  /** Returns the problem that describes why the server rejected a request. */
  public static Problem ofRejection(HttpRejection rejection) {
    return switch (rejection) {
      case MALFORMED -> Problem.of(ErrorKind.MALFORMED_REQUEST, "this is not HTTP/1.1");
      case HEADERS_TOO_LARGE ->
          Problem.of(ErrorKind.HEADERS_TOO_LARGE, "request line or headers exceed the limit");
      case BODY_TOO_LARGE -> Problem.of(ErrorKind.BODY_TOO_LARGE, "the body exceeds the limit");
      case SLOW_OR_TRUNCATED ->
          Problem.of(
              ErrorKind.SLOW_SENDER, "the request broke off or was not whole within the time");
      case TOO_MANY_CONNECTIONS ->
          Problem.of(
              ErrorKind.TOO_MANY_CONNECTIONS,
              "connections, or the bodies they hold, are at the limit; try another instance");
    };
  }
}
