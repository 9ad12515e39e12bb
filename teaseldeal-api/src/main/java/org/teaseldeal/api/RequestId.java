package org.teaseldeal.api;

/**
 * Identifies a caller's request across all its attempts.
 *
 * <p>The id of a request with an idempotency key is derived from team, service and key, so that a
 * retry at another instance has the same id. The id of any other request is {@code
 * incarnation-number}.
 */
public record RequestId(String value) {
  public RequestId {
    Preconditions.requireText(value, "request id");
  }

  @Override
  public String toString() {
    return value;
  }
}
