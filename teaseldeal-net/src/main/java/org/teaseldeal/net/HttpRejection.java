package org.teaseldeal.net;

/** Why the server rejected a request before it reached the handler. */
public enum HttpRejection {
  MALFORMED(400),
  HEADERS_TOO_LARGE(431),
  BODY_TOO_LARGE(413),
  /** The request was not received completely within the time limit, or ended early. */
  SLOW_OR_TRUNCATED(408),
  TOO_MANY_CONNECTIONS(503);

  private final int status;

  HttpRejection(int status) {
    this.status = status;
  }

  /** Returns the default HTTP status of the rejection. */
  public int status() {
    return status;
  }
}
