package org.teaseldeal.operator.explain;

import java.util.Locale;
import java.util.function.Function;

/**
 * Explains the outcomes of requests. Each constant is named after an outcome in the log; its
 * sentence says what led to the outcome.
 */
enum Cause {
  ANSWERED(
      history ->
          "A backend server answered with status %d on attempt %d."
              .formatted(history.end().number("status"), history.end().number("attempts"))),
  BUDGET_EXHAUSTED(
      history ->
          "The prepaid total of %s did not cover the request: %s."
              .formatted(history.end().text("customer"), history.end().text("detail"))),
  NO_LEASE(Cause::noLease),
  UNAUTHENTICATED(
      history ->
          "No plan up to version %d contains its key.".formatted(history.end().number("plan"))),
  UNKNOWN_SERVICE(
      history ->
          "No route of plan version %d matches its host and path."
              .formatted(history.end().number("plan"))),
  BACKEND_FAILED(
      history ->
          "It may have run at a backend server, so it was not retried; %s."
              .formatted(history.lastFailure("the logs contain no failed attempt"))),
  NO_BACKEND_SERVER(
      history ->
          "No backend server could accept it; %s."
              .formatted(history.lastFailure("no server of its service was listed as ready"))),
  OVERLOADED(
      history ->
          "The backend servers of its service had no free capacity; %s."
              .formatted(history.lastFailure("none accepted it"))),
  DEADLINE_PASSED(
      history ->
          "It ran at a backend server, but its answer was not complete by its deadline; %s."
              .formatted(history.lastFailure("no earlier attempt had failed"))),
  EXPIRED_WAITING(history -> "It was still waiting at its deadline and was not run."),
  CALLER_GONE(
      history ->
          "Its caller closed the connection after %.0f ms."
              .formatted(history.end().fields().path("took_ms").asDouble())),
  STREAM_BROKEN(
      history ->
          "Its answer was cut off midway and could not be resumed: %s."
              .formatted(history.end().text("detail"))),
  STREAM_NOT_RESUMABLE(
      history ->
          "Its caller took up a stream that can't go on after its last event: %s."
              .formatted(history.end().text("detail"))),
  QUARANTINED(Cause::quarantined),
  NOT_READY(history -> "The instance was starting and had no plan yet.");

  /** Stands in the detail of a refusal for a part of the prompt instead of the request itself. */
  private static final String PROMPT_PART = "prompt part";

  private final Function<RequestHistory, String> sentence;

  Cause(Function<RequestHistory, String> sentence) {
    this.sentence = sentence;
  }

  /** Returns one sentence on why the request of {@code history} ended as it did. */
  static String of(RequestHistory history) {
    String outcome = history.end().text("outcome");
    String name = outcome.toUpperCase(Locale.ROOT).replace('-', '_');
    for (Cause cause : values()) {
      if (cause.name().equals(name)) {
        return cause.sentence.apply(history);
      }
    }
    return "Its outcome was %s: %s.".formatted(outcome, history.end().text("detail"));
  }

  private static String quarantined(RequestHistory history) {
    String detail = history.end().text("detail");
    return detail.contains(PROMPT_PART)
        ? "It was not sent to a backend server, because %s.".formatted(detail)
        : "It had crashed several backend servers, so it is no longer sent to any.";
  }

  private static String noLease(RequestHistory history) {
    String customer = history.end().text("customer");
    String tooFewTokens = "The instance held too few tokens of %s".formatted(customer);
    String tokensNeeded = ": " + history.end().text("detail") + ".";
    if (!history.unreachableDependencies().isEmpty()) {
      return tooFewTokens
          + " and could not obtain more because it could not reach "
          + String.join(", ", history.unreachableDependencies())
          + tokensNeeded;
    }
    long tokensLost = history.accountNumber("lostByAll");
    return tokensLost > 0
        ? tooFewTokens
            + ", and %d of the other tokens were lost with processes that were killed or lost power"
                .formatted(tokensLost)
            + tokensNeeded
        : tooFewTokens + ", and the rest of the total was held by other instances" + tokensNeeded;
  }
}
