package org.teaseldeal.gateway.flow;

/** How an attempt ended without its whole answer. */
enum AttemptEnd {
  /** Nothing was written to the server. */
  NOT_SENT,
  /** The server says that it did not run the request. */
  NOT_RUN,
  /** Another incarnation has the address. */
  OTHER_SERVER,
  /** The request may have run. */
  MAY_HAVE_RUN
}
