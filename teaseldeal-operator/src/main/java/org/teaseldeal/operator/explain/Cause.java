package org.teaseldeal.operator.explain;

import java.util.Locale;
import java.util.function.Function;

/** Why requests end as they do, by the outcome in the log; the sentence names what decided. */
enum Cause {
  ANSWERED(
      story ->
          "A backend server answered with status %d on attempt %d."
              .formatted(story.end().number("status"), story.end().number("attempts"))),
  BUDGET_EXHAUSTED(
      story ->
          "The prepaid total of %s did not cover it: %s."
              .formatted(story.end().text("customer"), story.end().text("detail"))),
  NO_LEASE(Cause::noLease),
  UNAUTHENTICATED(
      story -> "Its key is in no plan up to version %d.".formatted(story.end().number("plan"))),
  UNKNOWN_SERVICE(
      story ->
          "No route of plan version %d takes its host and path."
              .formatted(story.end().number("plan"))),
  BACKEND_FAILED(
      story ->
          "It may have run, so it was not sent again; %s."
              .formatted(story.lastFailure("no attempt's failure is in the logs"))),
  NO_BACKEND_SERVER(
      story ->
          "No backend server could take it; %s."
              .formatted(story.lastFailure("none of its service was listed as ready"))),
  OVERLOADED(story -> "Its servers were full; %s.".formatted(story.lastFailure("none took it"))),
  DEADLINE_PASSED(
      story ->
          "It ran at a backend server and had no whole answer by its deadline; %s."
              .formatted(story.lastFailure("no attempt failed before"))),
  EXPIRED_WAITING(story -> "It waited until its deadline and was not run."),
  CALLER_GONE(
      story ->
          "Its caller closed the connection after %.0f ms."
              .formatted(story.end().fields().path("took_ms").asDouble())),
  STREAM_BROKEN(
      story ->
          "Its answer broke off midway and could not be gone on with: %s."
              .formatted(story.end().text("detail"))),
  QUARANTINED(story -> "It had crashed several backend servers and is not sent any more."),
  NOT_READY(story -> "The instance had no plan yet: it was starting.");

  private final Function<RequestHistory, String> sentence;

  Cause(Function<RequestHistory, String> sentence) {
    this.sentence = sentence;
  }

  /** One sentence on why the request of {@code story} ended. */
  static String of(RequestHistory story) {
    String outcome = story.end().text("outcome");
    String name = outcome.toUpperCase(Locale.ROOT).replace('-', '_');
    for (Cause cause : values()) {
      if (cause.name().equals(name)) {
        return cause.sentence.apply(story);
      }
    }
    return "It ended as %s: %s.".formatted(outcome, story.end().text("detail"));
  }

  private static String noLease(RequestHistory story) {
    String customer = story.end().text("customer");
    String tokens = "The instance had too few tokens of %s at hand".formatted(customer);
    String needed = ": " + story.end().text("detail") + ".";
    if (!story.unreachableDependencies().isEmpty()) {
      return tokens
          + " and could not be granted more, as it did not reach "
          + String.join(", ", story.unreachableDependencies())
          + needed;
    }
    long lost = story.accountNumber("lostByAll");
    return lost > 0
        ? tokens
            + ", and of the rest %d were lost with processes that were killed, or lost power"
                .formatted(lost)
            + needed
        : tokens + ", and the rest of the total was held by other instances" + needed;
  }
}
