package org.teaseldeal.net;

import org.jspecify.annotations.Nullable;

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
   * Returns the match of an answer in the place of that to the call {@code expected}.
   *
   * @param named the call that the answer names; null if it names none
   */
  public static AnswerMatch of(@Nullable String named, String expected) {
    if (named == null) {
      return UNNAMED;
    }
    return named.equals(expected) ? THIS_CALL : OTHER_CALL;
  }

  /**
   * Returns whether the connection can carry another call: a second copy of the answer would not be
   * taken for the answer to that one.
   */
  boolean allowsReuse() {
    return this == THIS_CALL || this == BY_PLACE;
  }
}
