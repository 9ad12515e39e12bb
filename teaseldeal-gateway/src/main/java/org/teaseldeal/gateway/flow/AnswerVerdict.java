package org.teaseldeal.gateway.flow;

/** What the head of a backend server's answer says. */
public enum AnswerVerdict {
  /** The server's own answer to the request, to be passed on. */
  GENUINE,
  /** The server has not run the request and will not. */
  NOT_RUN,
  /** Another incarnation has the address; it has not run the request. */
  OTHER_SERVER,
  /** Not known to be the server's answer; the request may have run. */
  DOUBTFUL
}
