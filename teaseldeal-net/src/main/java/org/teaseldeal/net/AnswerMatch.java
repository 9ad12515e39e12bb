package org.teaseldeal.net;

/** How an answer relates to the call in whose place it arrived on a connection. */
public enum AnswerMatch {
  /** The server answers each call once, so that its place suffices. */
  BY_PLACE,
  /** It names the call. */
  THIS_CALL,
  /** It names no call: only its position on the connection suggests one. */
  UNNAMED,
  /** It names another call, which it may have answered before. */
  OTHER_CALL;

  /**
   * Returns whether the connection can carry another call: a second copy of the answer would not be
   * taken for the answer to that one.
   */
  boolean allowsReuse() {
    return this == THIS_CALL || this == BY_PLACE;
  }
}
