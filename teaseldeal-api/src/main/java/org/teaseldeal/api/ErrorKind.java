package org.teaseldeal.api;

import static org.teaseldeal.api.RunStatus.NOT_RUN;
import static org.teaseldeal.api.RunStatus.RAN;
import static org.teaseldeal.api.RunStatus.UNKNOWN;

import java.util.Locale;

/**
 * All kinds of errors that a caller can receive, and the answer to each.
 *
 * <p>{@link #runStatus()} is part of the contract: a kind with {@link RunStatus#NOT_RUN} is used
 * only if no backend server has been or will be given the request.
 */
public enum ErrorKind {
  MALFORMED_REQUEST(400, NOT_RUN, "The request is malformed", false),
  MISSING_KEY(400, NOT_RUN, "This service needs an Idempotency-Key", false),
  UNAUTHENTICATED(401, NOT_RUN, "The bearer token is missing or unknown", false),
  FORBIDDEN(403, NOT_RUN, "The token does not reach this service", false),
  UNKNOWN_SERVICE(404, NOT_RUN, "No such service", false),
  METHOD_NOT_ALLOWED(405, NOT_RUN, "The method is not served here", false),
  SLOW_SENDER(408, NOT_RUN, "The request did not arrive in time", true),
  KEY_REUSED(422, NOT_RUN, "The Idempotency-Key was used for another request", false),
  KEY_EXPIRED(409, UNKNOWN, "The Idempotency-Key is older than is kept", false),
  ALREADY_CLAIMED(409, UNKNOWN, "The request with this key is running or may have run", true),
  OUTCOME_UNKNOWN(409, UNKNOWN, "The request may have run; it will not be run again", false),
  BODY_TOO_LARGE(413, NOT_RUN, "The body is larger than allowed", false),
  HEADERS_TOO_LARGE(431, NOT_RUN, "The headers are larger than allowed", false),
  OUTPUT_TOO_LONG(422, NOT_RUN, "More output tokens were asked for than the service allows", false),
  BUDGET_EXHAUSTED(402, NOT_RUN, "The prepaid budget does not cover the request", false),
  NO_LEASE(503, NOT_RUN, "The budget is not exhausted, but no share of it is at hand now", true),
  OVERLOADED(429, NOT_RUN, "There is more work than the service can take now", true),
  CUSTOMER_OVER_SHARE(429, NOT_RUN, "The customer's share of the service is in use", true),
  DEADLINE_UNREACHABLE(503, NOT_RUN, "The request would wait past its deadline", true),
  DEADLINE_PASSED(504, UNKNOWN, "The deadline passed while the request was running", false),
  EXPIRED_WAITING(504, NOT_RUN, "The deadline passed before the request was run", true),
  NO_BACKEND_SERVER(503, NOT_RUN, "No backend server is available", true),
  QUARANTINED(
      422, UNKNOWN, "The request ended several backend servers and is not run again", false),
  BACKEND_FAILED(502, UNKNOWN, "The backend server failed while running the request", false),
  BACKEND_REFUSED(502, RAN, "The backend server answered with an error", false),
  STREAM_BROKEN(502, RAN, "The answer broke off and could not be resumed", false),
  STREAM_NOT_RESUMABLE(503, NOT_RUN, "The stream can't go on after its last event", true),
  LOG_UNAVAILABLE(
      503, NOT_RUN, "The platform's log cannot be reached, so the request is not run", true),
  DRAINING(503, NOT_RUN, "The instance is shutting down", true),
  NOT_READY(503, NOT_RUN, "The instance has not caught up with settings and ledger yet", true),
  TOO_MANY_CONNECTIONS(503, NOT_RUN, "The instance has as many connections as it may", true),
  INTERNAL(500, UNKNOWN, "The instance failed", false);

  private final int status;
  private final RunStatus runStatus;
  private final String title;
  private final boolean retryable;

  ErrorKind(int status, RunStatus runStatus, String title, boolean retryable) {
    this.status = status;
    this.runStatus = runStatus;
    this.title = title;
    this.retryable = retryable;
  }

  /** Returns the HTTP status of the answer. */
  public int status() {
    return status;
  }

  /** Returns what the answer states about whether the request was run. */
  public RunStatus runStatus() {
    return runStatus;
  }

  /** Returns a short summary that is the same for every answer of this kind. */
  public String title() {
    return title;
  }

  /**
   * Returns whether the same request can succeed on a retry without anybody changing the request,
   * the settings or the budget.
   */
  public boolean retryable() {
    return retryable;
  }

  /**
   * Returns whether the error depends on circumstances that change with time, so that another
   * attempt of the same request can have another result. All other kinds depend on the request
   * itself and would be the same for every attempt.
   */
  public boolean isTransient() {
    return retryable || this == BUDGET_EXHAUSTED;
  }

  /** Returns the name in answers, logs and metrics, in lower case with hyphens. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
