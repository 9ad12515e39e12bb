package org.teaseldeal.gateway.flow;

/** How the status and headers of a backend server's answer are to be understood. */
public enum AnswerVerdict {
  /** The server answered the request itself; the answer is passed on to the caller. */
  GENUINE,
  /** The server has not run the request and never will. */
  NOT_RUN,
  /** Another incarnation answered at the server's address; it has not run the request. */
  OTHER_SERVER,
  /** The answer may not come from the server; the request may have run. */
  DOUBTFUL
}
