package org.teaseldeal.net;

/** How the end of a received answer was marked. */
public enum AnswerEnd {
  /** By the head: answers with its status, or to its method, have no body. */
  NO_BODY,
  /** By the length in the head. */
  LENGTH,
  /** By the last chunk. */
  LAST_CHUNK,
  /** By the server's orderly close of the connection. */
  CONNECTION_CLOSED;

  /**
   * Returns whether the answer itself marks its end. Otherwise only its content can tell whether it
   * is complete.
   */
  public boolean isMarkedByFraming() {
    return this != CONNECTION_CLOSED;
  }
}
