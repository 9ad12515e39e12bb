package org.teaseldeal.api;

import java.time.Duration;
import java.util.Optional;

/**
 * An error that is sent to a caller.
 *
 * @param detail what happened to this request
 * @param retryAfter how long the caller should wait before a retry, if a retry makes sense
 * @param run what is known of whether the request was run: the run status of {@code kind}, or
 *     unknown
 */
public record Problem(ErrorKind kind, String detail, Optional<Duration> retryAfter, RunStatus run) {
  public Problem {
    Preconditions.requireText(detail, "detail");
    Preconditions.require(
        retryAfter.isEmpty() || kind.retryable(),
        "retryAfter was %s for %s, expected none for a kind that is not retryable"
            .formatted(retryAfter, kind));
    Preconditions.require(
        run == kind.runStatus() || run == RunStatus.UNKNOWN,
        "run was %s for %s, expected %s or unknown".formatted(run, kind, kind.runStatus()));
  }

  /** Creates a problem without a retry-after time. */
  public static Problem of(ErrorKind kind, String detail) {
    return new Problem(kind, detail, Optional.empty(), kind.runStatus());
  }

  /** Creates a problem of a retryable kind with a retry-after time. */
  public static Problem retryable(ErrorKind kind, String detail, Duration retryAfter) {
    return new Problem(kind, detail, Optional.of(retryAfter), kind.runStatus());
  }

  /**
   * Returns this problem as it is sent to a caller whose request has an idempotency key.
   *
   * <p>A key stands for all attempts of a request. An instance that rejects one attempt can't know
   * whether another instance has run an earlier one, or will still run it, for example after a
   * pause. If the answer said "not-run", the caller could send the request again under a new key,
   * and it would be run twice. The run status of a problem that another attempt might not meet is
   * therefore unknown.
   */
  public Problem forKeyedRequest() {
    return kind.isTransient() ? new Problem(kind, detail, retryAfter, RunStatus.UNKNOWN) : this;
  }
}
