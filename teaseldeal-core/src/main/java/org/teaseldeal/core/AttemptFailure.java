package org.teaseldeal.core;

/** The way in which an attempt ended without its answer, and whether the request may have run. */
public enum AttemptFailure {
  /** No byte of the request was written, so it did not run. */
  NOT_SENT(false),
  /** The server refused the request before running it. */
  REFUSED_BY_SERVER(false),
  /** The request was written, and the connection ended before an answer began. */
  LOST_BEFORE_ANSWER(true),
  /** The answer ended before it was complete. */
  LOST_MID_ANSWER(true),
  /** The server ran the request and answered with an error. */
  SERVER_ERROR(true),
  /** The request's stream was to be resumed, but the server does not know the request. */
  RESUME_UNKNOWN(true);

  private final boolean mayHaveRun;

  AttemptFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the server may have run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
