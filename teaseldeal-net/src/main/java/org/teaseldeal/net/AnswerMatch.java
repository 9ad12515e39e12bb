package org.teaseldeal.net;

import java.util.Optional;

/** Which call an answer names, if it names one. */
public enum AnswerMatch {
  /** The call in whose place it arrived. */
  THIS_CALL,
  /** None: only its position on the connection suggests the call. */
  UNNAMED,
  /** Another call, which it may have answered before. */
  OTHER_CALL;

  /**
   * Returns the match of an answer that names the call {@code named}, received in the place of the
   * answer to the call {@code expected}.
   */
  public static AnswerMatch of(Optional<String> named, String expected) {
    if (named.isEmpty()) {
      return UNNAMED;
    }
    return named.get().equals(expected) ? THIS_CALL : OTHER_CALL;
  }
}
