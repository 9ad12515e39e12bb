package org.teaseldeal.router.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.cli.log.LogLevelFilter;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.router.caller.ProblemAnswer;
import org.teaseldeal.router.instance.Instance;
import org.teaseldeal.router.instance.InstanceLoop;
import org.teaseldeal.router.instance.Readiness;
import org.teaseldeal.router.json.Json;

/** Answers the HTTP requests of operators. */
public final class AdminHandler implements HttpHandler {
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration MAX_TICK_AGE = Duration.ofSeconds(10);
  private static final Map<String, String> JSON = Map.of("Content-Type", "application/json");

  private enum Resource {
    LIVE("GET", "/live"),
    READY("GET", "/ready"),
    METRICS("GET", "/metrics"),
    DUMP("GET", "/dump"),
    LOG_LEVEL("PUT", "/log-level"),
    DRAIN("POST", "/drain");

    private final String method;
    private final String path;

    Resource(String method, String path) {
      this.method = method;
      this.path = path;
    }

    static Optional<Resource> forPath(String path) {
      return List.of(values()).stream().filter(r -> r.path.equals(path)).findFirst();
    }
  }

  private final AdminCredential credential;
  private final InstanceLoop loop;
  private final MetricsText metrics;
  private final Runnable drain;

  /**
   * Creates a handler.
   *
   * @param credentialSha256 the SHA-256 of the operators' token, in hexadecimal; if it is empty,
   *     every request is authorized
   * @param loop the event loop of the instance that is queried
   * @param metrics the metrics of this process
   * @param drain starts the drain of this router
   */
  public AdminHandler(
      Optional<String> credentialSha256, InstanceLoop loop, MetricsText metrics, Runnable drain) {
    this.credential = new AdminCredential(credentialSha256);
    this.loop = loop;
    this.metrics = metrics;
    this.drain = drain;
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (!credential.authorizes(exchange)) {
      refuse(exchange, ErrorKind.UNAUTHENTICATED, "this listener needs the operators' token");
      return;
    }
    Optional<Resource> resource = Resource.forPath(exchange.path());
    if (resource.isEmpty()) {
      refuse(exchange, ErrorKind.UNKNOWN_SERVICE, "nothing is served at this path");
    } else if (!resource.get().method.equals(exchange.method())) {
      ProblemAnswer.sendNotAllowed(exchange, resource.get().method);
    } else {
      serve(exchange, resource.get());
    }
  }

  private void serve(HttpExchange exchange, Resource resource) {
    switch (resource) {
      case LIVE -> respondLiveness(exchange);
      case READY ->
          respondFromInstance(exchange, Instance::readiness, AdminHandler::readinessAnswer);
      case METRICS ->
          respondFromInstance(
              exchange,
              Instance::counters,
              counters ->
                  new HttpAnswer(
                      200,
                      Map.of("Content-Type", MetricsText.CONTENT_TYPE),
                      metrics.write(counters)));
      case DUMP ->
          respondFromInstance(
              exchange,
              instance -> Json.bytes(Json.tree(instance.dump())),
              dump -> new HttpAnswer(200, JSON, dump));
      case LOG_LEVEL -> setLogLevel(exchange);
      case DRAIN -> {
        drain.run();
        respond(exchange, 202, Json.object().put("draining", true));
      }
    }
  }

  private void respondLiveness(HttpExchange exchange) {
    boolean live = loop.sinceLastTick().compareTo(MAX_TICK_AGE) < 0;
    respond(exchange, live ? 200 : 503, Json.object().put("live", live));
  }

  private static HttpAnswer readinessAnswer(Readiness readiness) {
    ObjectNode body =
        Json.object()
            .put("ready", readiness.ready())
            .put("reason", readiness.reason())
            .put("instance", readiness.instance())
            .put("incarnation", readiness.incarnation());
    body.set("folded_to", Json.tree(readiness.foldedTo()));
    return new HttpAnswer(readiness.ready() ? 200 : 503, JSON, Json.bytes(body));
  }

  private <T> void respondFromInstance(
      HttpExchange exchange, Function<Instance, T> query, Function<T, HttpAnswer> toAnswer) {
    CompletableFuture<HttpAnswer> answer =
        loop.query(query)
            .orTimeout(QUERY_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
            .thenApply(toAnswer);
    answer.whenComplete(
        (complete, failure) -> {
          if (complete == null) {
            LogLine.of("an operator's query failed").error(failure);
            refuse(exchange, ErrorKind.INTERNAL, "the instance did not say in time");
          } else {
            exchange.respond(complete.status(), complete.headers(), complete.body());
          }
        });
  }

  private static void setLogLevel(HttpExchange exchange) {
    Optional<String> level;
    try {
      level = Optional.of(Json.readObject(exchange.body()).path("level").asText(""));
    } catch (IllegalArgumentException e) {
      level = Optional.empty();
    }
    level
        .flatMap(LogLevelFilter::set)
        .ifPresentOrElse(
            set ->
                respond(
                    exchange, 200, Json.object().put("level", set.name().toLowerCase(Locale.ROOT))),
            () ->
                refuse(
                    exchange,
                    ErrorKind.MALFORMED_REQUEST,
                    "expected {\"level\":\"trace|debug|info|warn|error|off\"}"));
  }

  private static void respond(HttpExchange exchange, int status, ObjectNode body) {
    exchange.respond(status, JSON, Json.bytes(body));
  }

  private static void refuse(HttpExchange exchange, ErrorKind kind, String detail) {
    ProblemAnswer.send(exchange, Problem.of(kind, detail), Optional.empty());
  }
}
