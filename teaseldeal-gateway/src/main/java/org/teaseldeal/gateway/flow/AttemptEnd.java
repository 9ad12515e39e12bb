package org.teaseldeal.gateway.flow;

/** How an attempt ended without its whole answer. */
enum AttemptEnd {
  /** Nothing was written to the server. */
  NOT_SENT,
  /** The server says that it did not run the request. */
  NOT_RUN,
  /** Another incarnation has the address. */
  OTHER_SERVER,
  /** The server ran an idempotent request and answered with an error of its own. */
  SERVER_ERROR,
  /** The request may have run. */
  MAY_HAVE_RUN;

  /** Whether the server has not run the request, and never will. */
  boolean provesNotRun() {
    return this == NOT_SENT || this == NOT_RUN || this == OTHER_SERVER;
  }
}
