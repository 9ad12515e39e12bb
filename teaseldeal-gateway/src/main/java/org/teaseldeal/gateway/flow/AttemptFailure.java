package org.teaseldeal.gateway.flow;

/** Why an attempt ended without a complete answer that can be passed on. */
enum AttemptFailure {
  /** No part of the request was written to the server. */
  NOT_SENT,
  /** The server reported that it did not run the request. */
  NOT_RUN,
  /** Another incarnation answered at the server's address. */
  OTHER_SERVER,
  /** The server ran a repeatable request and answered with an error of its own. */
  SERVER_ERROR,
  /** The request may have run. */
  MAY_HAVE_RUN;

  /** Whether it is certain that the server has not run the request and never will. */
  boolean provesNotRun() {
    return this == NOT_SENT || this == NOT_RUN || this == OTHER_SERVER;
  }
}
