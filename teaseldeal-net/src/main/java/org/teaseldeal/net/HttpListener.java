package org.teaseldeal.net;

import java.util.Map;

/**
 * Receives the outcome of a call on the client's event loop: the head, the parts of the body, then
 * the end; or a failure at any point. No callback follows the end, a failure or a cancellation.
 */
public interface HttpListener {
  /**
   * Returns how an answer with this head relates to the call. The answer to another call is
   * skipped, and the next one is awaited. By default the server is trusted to answer each call
   * once.
   *
   * <p>If a server answers a request twice, its second answer arrives where the answer to the next
   * call on the connection is due. Matched by order alone, it would be given to the caller of that
   * next call.
   */
  default AnswerMatch match(int status, Map<String, String> headers) {
    return AnswerMatch.BY_PLACE;
  }

  /**
   * Returns the name by which answers identify the call; empty if they don't. Calls of the same
   * name use different connections, as a second answer to the one would be taken for the other's.
   */
  default String callName() {
    return "";
  }

  /** Called when the answer to another call is skipped. */
  default void onSkipped(int status, Map<String, String> headers, AnswerOrigin origin) {}

  /** Called right before {@link #onHead} with where the answer was received. */
  default void onReceived(AnswerOrigin origin) {}

  /** Called right before {@link #onHead} with how the head says that the answer's end is marked. */
  default void onEndAnnounced(AnswerEnd end) {}

  /** Receives the answer's head; header names are in lower case. */
  void onHead(int status, Map<String, String> headers);

  /** Receives a part of the answer's body. */
  void onBodyPart(byte[] part);

  /**
   * Called when the answer has ended.
   *
   * @param end how its end was marked
   */
  void onEnd(AnswerEnd end);

  /** Called when the call ends without a complete answer. */
  void onFailure(HttpFailure failure, String detail);
}
