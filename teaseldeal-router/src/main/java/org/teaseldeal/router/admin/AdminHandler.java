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

/** Answers operators. */
public final class AdminHandler implements HttpHandler {
  private static final Duration ASK_BOUND = Duration.ofSeconds(2);
  private static final Duration LIVE_BOUND = Duration.ofSeconds(10);
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

    static Optional<Resource> at(String path) {
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
   * @param credentialSha256 the SHA-256 of the operators' token; without one everyone may pass
   * @param drain starts the shutdown
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
    if (!credential.admits(exchange)) {
      refuse(exchange, ErrorKind.UNAUTHENTICATED, "this listener needs the operators' token");
      return;
    }
    Optional<Resource> resource = Resource.at(exchange.path());
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
      case LIVE -> live(exchange);
      case READY -> answerFromCore(exchange, Instance::readiness, AdminHandler::readyAnswer);
      case METRICS ->
          answerFromCore(
              exchange,
              Instance::counters,
              counters ->
                  new HttpAnswer(
                      200,
                      Map.of("Content-Type", MetricsText.CONTENT_TYPE),
                      metrics.write(counters)));
      case DUMP ->
          answerFromCore(
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

  private void live(HttpExchange exchange) {
    boolean live = loop.sinceLastTick().compareTo(LIVE_BOUND) < 0;
    respond(exchange, live ? 200 : 503, Json.object().put("live", live));
  }

  private static HttpAnswer readyAnswer(Readiness readiness) {
    ObjectNode body =
        Json.object()
            .put("ready", readiness.ready())
            .put("reason", readiness.reason())
            .put("instance", readiness.instance())
            .put("incarnation", readiness.incarnation());
    body.set("folded_to", Json.tree(readiness.foldedTo()));
    return new HttpAnswer(readiness.ready() ? 200 : 503, JSON, Json.bytes(body));
  }

  private <T> void answerFromCore(
      HttpExchange exchange, Function<Instance, T> question, Function<T, HttpAnswer> toAnswer) {
    CompletableFuture<HttpAnswer> answer =
        loop.ask(question)
            .orTimeout(ASK_BOUND.toMillis(), TimeUnit.MILLISECONDS)
            .thenApply(toAnswer);
    answer.whenComplete(
        (whole, failure) -> {
          if (whole == null) {
            LogLine.of("an operator's question failed").error(failure);
            refuse(exchange, ErrorKind.INTERNAL, "the instance did not say in time");
          } else {
            exchange.respond(whole.status(), whole.headers(), whole.body());
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
