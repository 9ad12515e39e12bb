package org.teaseldeal.dist;

import java.util.Optional;

/**
 * The outcome of a request as its caller observed it.
 *
 * @param requestId the request id from the answer's headers, or empty if there was none
 * @param detail the answer to a plain call, the problem document of a refusal, or a description of
 *     what was wrong with the answer
 */
record Answer(End end, int status, String requestId, String detail) {
  enum End {
    /** The complete answer to this request arrived. */
    COMPLETE,
    /** A problem document arrived instead of an answer. */
    PROBLEM,
    /** The connection broke, or the stream ended with an error event. */
    BROKEN,
    /** No connection could be made, so nothing was sent. */
    NOT_SENT,
    /** A part of the answer is missing or belongs to another request. */
    WRONG
  }

  boolean isComplete() {
    return end == End.COMPLETE;
  }

  boolean reportsNotRun() {
    return end == End.NOT_SENT || (end == End.PROBLEM && detail.contains("\"run\":\"not-run\""));
  }

  /**
   * Returns whether the caller may retry: the problem has a retry delay, or the request was not
   * sent.
   */
  boolean isRetryable() {
    return end == End.NOT_SENT || (end == End.PROBLEM && detail.contains("\"retry_after_ms\":"));
  }

  /**
   * Returns whether the problem makes no statement about earlier attempts with the same key,
   * because it reports the run as unknown.
   */
  boolean concernsThisAttemptOnly() {
    return end == End.PROBLEM && detail.contains("\"run\":\"unknown\"");
  }

  /** Returns the error kind of a problem document. */
  Optional<String> kind() {
    int start = detail.indexOf("urn:teaseldeal:error:");
    if (start < 0) {
      return Optional.empty();
    }
    String rest = detail.substring(start + "urn:teaseldeal:error:".length());
    return Optional.of(rest.substring(0, rest.indexOf('"')));
  }
}
