package org.teaseldeal.model;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.Result;
import org.teaseldeal.gateway.flow.AnswerVerdict;
import org.teaseldeal.gateway.flow.CallerRequest;
import org.teaseldeal.gateway.flow.Dialect;
import org.teaseldeal.gateway.flow.ForwardingTerms;
import org.teaseldeal.gateway.flow.PromptDescription;
import org.teaseldeal.gateway.flow.Resumption;
import org.teaseldeal.gateway.server.RateAnnouncement;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;

/**
 * The protocol between the model's callers, instances and servers. Messages are passed as objects,
 * so a malformed one can't occur.
 */
final class ModelDialect implements Dialect {
  static final String HOST = "model";

  /** Header of a refusal that holds the time in milliseconds after which the caller may retry. */
  static final String RETRY_AFTER_HEADER = "come-back-ms";

  /** Header of a server's answer that marks the request as not run. */
  static final String NOT_RUN_HEADER = "full";

  /** Header of a server's answer that holds the requests in a second that it takes. */
  static final String RATE_LIMIT_HEADER = "limit";

  /** Header of a server's answer that says that the server leaves. */
  static final String LEAVING_HEADER = "leaving";

  /** Header of a server's rejection that holds the milliseconds for which it wants no requests. */
  static final String PAUSE_HEADER = "pause-ms";

  /** Header that carries the id of the last event that the caller has; 0 if it has none. */
  static final String LAST_EVENT_HEADER = "last-event";

  /** Header that carries the attempt's id to the server. */
  static final String ATTEMPT_ID_HEADER = "request";

  @Override
  public Result<CallerRequest> read(HttpExchange exchange) {
    ModelExchange call = (ModelExchange) exchange;
    ModelRequest request = call.request();
    Optional<PromptDescription> prompt =
        request.kind().streamed()
            ? Optional.of(
                new PromptDescription(
                    request.inputTokens(), request.maxOutputTokens(), request.parts()))
            : Optional.empty();
    return Result.ok(
        new CallerRequest(
            call.attemptId(),
            "POST",
            HOST,
            path(request.kind()) + request.number(),
            List.of(),
            new byte[0],
            Optional.of(call.timeLeft()),
            Optional.of(request.customer()),
            prompt,
            call.resumption()));
  }

  @Override
  public Optional<Duration> callerTimeout(HttpExchange exchange) {
    return Optional.of(((ModelExchange) exchange).timeLeft());
  }

  static String path(Scenario.Kind kind) {
    return "/" + kind.name() + "/";
  }

  @Override
  public String requestId(HttpExchange exchange) {
    return ((ModelExchange) exchange).attemptId();
  }

  @Override
  public HttpCallRequest forward(CallerRequest request, ForwardingTerms terms) {
    return new HttpCallRequest(
        terms.address(),
        request.method(),
        request.target(),
        Map.of(ATTEMPT_ID_HEADER, request.id(), LAST_EVENT_HEADER, lastEvent(request, terms)),
        request.body(),
        terms.timeLeft());
  }

  private static String lastEvent(CallerRequest request, ForwardingTerms terms) {
    return terms
        .resumeAfter()
        .or(() -> request.resumption().flatMap(Resumption::lastEventId))
        .orElse("0");
  }

  @Override
  public AnswerMatch match(String id, Map<String, String> headers) {
    return AnswerMatch.BY_PLACE;
  }

  @Override
  public String answeredRequest(Map<String, String> headers) {
    return "";
  }

  @Override
  public String signature(Map<String, String> headers) {
    return "";
  }

  @Override
  public AnswerVerdict verdict(int status, Map<String, String> headers) {
    return headers.containsKey(NOT_RUN_HEADER) ? AnswerVerdict.NOT_RUN : AnswerVerdict.GENUINE;
  }

  /** Returns what the head of an answer says about its server. */
  static ServerStatements statements(Map<String, String> headers) {
    return new ServerStatements(
        true,
        rateAnnouncement(headers),
        OptionalInt.empty(),
        headers.containsKey(LEAVING_HEADER),
        Optional.ofNullable(headers.get(PAUSE_HEADER))
            .map(millis -> Duration.ofMillis(Long.parseLong(millis))),
        List.of());
  }

  private static RateAnnouncement rateAnnouncement(Map<String, String> headers) {
    String value = headers.get(RATE_LIMIT_HEADER);
    return value == null
        ? new RateAnnouncement.Absent()
        : new RateAnnouncement.Limited(Double.parseDouble(value));
  }

  @Override
  public Map<String, String> answerHeaders(Map<String, String> headers) {
    return headers;
  }

  @Override
  public HttpAnswer refuse(Problem problem) {
    Map<String, String> headers =
        problem
            .retryAfter()
            .map(Duration::toMillis)
            .map(millis -> Map.of(RETRY_AFTER_HEADER, String.valueOf(millis)))
            .orElse(Map.of());
    return new HttpAnswer(problem.kind().status(), headers, new byte[0]);
  }
}
