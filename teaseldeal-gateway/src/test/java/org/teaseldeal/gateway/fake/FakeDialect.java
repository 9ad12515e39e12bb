package org.teaseldeal.gateway.fake;

import java.time.Duration;
import java.util.ArrayList;
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
import org.teaseldeal.gateway.flow.PromptPart;
import org.teaseldeal.gateway.server.RateAnnouncement;
import org.teaseldeal.gateway.server.ServerStatements;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;

/**
 * A dialect that accepts every request, for one host, and treats answers as genuine unless they say
 * otherwise.
 */
public final class FakeDialect implements Dialect {
  /** The status of an answer from a server other than the intended one. */
  private static final int OTHER_SERVER_STATUS = 421;

  /** In an answer: the rejections per second from which on the server fails. */
  public static final String BRITTLE_HEADER = "brittle";

  /** In an answer: the requests a second that the server takes. */
  public static final String LIMIT_HEADER = "limit";

  /** In a request: the milliseconds for which its caller waits for the answer. */
  public static final String CALLER_TIMEOUT_HEADER = "caller-timeout-ms";

  /** In a refusal: the milliseconds after which the caller may come back. */
  private static final String RETRY_AFTER_HEADER = "come-back-ms";

  /** In a request to a server: the id of the last event that the caller has. */
  public static final String RESUME_HEADER = "resume-after";

  /** In an answer: the server leaves. */
  public static final String LEAVING_HEADER = "leaving";

  /** In a rejection: the milliseconds for which the server wants no further requests. */
  public static final String PAUSE_HEADER = "pause-ms";

  /** In an answer: the server has not run the request. */
  public static final String NOT_RUN_HEADER = "not-run";

  /** In a path: introduces the ids of the prompt's shared parts, separated by commas. */
  public static final String PARTS_QUERY = "?parts=";

  private static final int PART_TOKENS = 10;

  /** The host of all requests. */
  public static final String HOST = "desk.example";

  @Override
  public Result<CallerRequest> read(HttpExchange exchange) {
    return Result.ok(
        new CallerRequest(
            requestId(exchange),
            exchange.method(),
            HOST,
            exchange.path(),
            List.of(),
            exchange.body(),
            callerTimeout(exchange),
            Optional.empty(),
            prompt(exchange.path()),
            Optional.empty()));
  }

  /** Reads the shared parts of a prompt from a query. */
  private static Optional<PromptDescription> prompt(String path) {
    int start = path.indexOf(PARTS_QUERY);
    if (start < 0) {
      return Optional.empty();
    }
    List<PromptPart> parts = new ArrayList<>();
    for (String id : path.substring(start + PARTS_QUERY.length()).split(",")) {
      parts.add(new PromptPart(id, PART_TOKENS));
    }
    parts.add(new PromptPart("own", PART_TOKENS));
    return Optional.of(new PromptDescription(PART_TOKENS * parts.size(), 1, parts));
  }

  @Override
  public String requestId(HttpExchange exchange) {
    return "r-1";
  }

  @Override
  public Optional<Duration> callerTimeout(HttpExchange exchange) {
    return exchange
        .header(CALLER_TIMEOUT_HEADER)
        .map(millis -> Duration.ofMillis(Long.parseLong(millis)));
  }

  @Override
  public HttpCallRequest forward(CallerRequest request, ForwardingTerms terms) {
    return new HttpCallRequest(
        terms.address(),
        request.method(),
        request.target(),
        terms.resumeAfter().map(id -> Map.of(RESUME_HEADER, id)).orElse(Map.of()),
        request.body(),
        terms.timeLeft());
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
    if (headers.containsKey(NOT_RUN_HEADER)) {
      return AnswerVerdict.NOT_RUN;
    }
    return status == OTHER_SERVER_STATUS ? AnswerVerdict.OTHER_SERVER : AnswerVerdict.GENUINE;
  }

  /** Returns what the head of an answer says about its server. */
  public static ServerStatements statements(int status, Map<String, String> headers) {
    String brittle = headers.get(BRITTLE_HEADER);
    return new ServerStatements(
        status != OTHER_SERVER_STATUS,
        rateAnnouncement(headers),
        brittle == null ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(brittle)),
        headers.containsKey(LEAVING_HEADER),
        Optional.ofNullable(headers.get(PAUSE_HEADER))
            .map(millis -> Duration.ofMillis(Long.parseLong(millis))),
        List.of());
  }

  private static RateAnnouncement rateAnnouncement(Map<String, String> headers) {
    String value = headers.get(LIMIT_HEADER);
    if (value == null) {
      return new RateAnnouncement.Absent();
    }
    try {
      return new RateAnnouncement.Limited(Double.parseDouble(value));
    } catch (NumberFormatException e) {
      return new RateAnnouncement.Unreadable(value);
    }
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
            .map(delay -> Map.of(RETRY_AFTER_HEADER, Long.toString(delay.toMillis())))
            .orElse(Map.of());
    return new HttpAnswer(problem.kind().status(), headers, new byte[0]);
  }

  /** Returns the time after which a refused caller may come back. */
  public static Duration retryAfter(Map<String, String> headers) {
    return Duration.ofMillis(Long.parseLong(headers.get(RETRY_AFTER_HEADER)));
  }
}
