package org.teaseldeal.net;

import java.io.IOException;

/** Thrown if a call ends without a complete answer. */
public final class HttpFailureException extends IOException {
  private static final long serialVersionUID = 1L;

  private final HttpFailure failure;

  public HttpFailureException(HttpFailure failure, String detail) {
    super("%s: %s".formatted(failure, detail));
    this.failure = failure;
  }

  /** Returns how far the call got. */
  public HttpFailure failure() {
    return failure;
  }
}
