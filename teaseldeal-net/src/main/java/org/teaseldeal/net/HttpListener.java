package org.teaseldeal.net;

import java.util.Map;

/**
 * Is told what comes of a call, on the client's event loop: head, parts, then end; or failure at
 * any point. Nothing follows the end, a failure or a cancel.
 */
public interface HttpListener {
  /**
   * Whether this head belongs to the call; if not, its whole answer is dropped and the next
   * awaited.
   *
   * <p>A server that answers a request twice puts the second answer where the next call's is due.
   * The caller of that call would get another's answer if the order on the connection alone
   * counted.
   */
  default boolean isAnswer(int status, Map<String, String> headers) {
    return true;
  }

  /** The answer's head; header names are in lower case. */
  void onHead(int status, Map<String, String> headers);

  /** A part of the answer's body. */
  void onPart(byte[] part);

  /** The answer is whole. */
  void onEnd();

  /** The call ended without its whole answer. */
  void onFailure(HttpFailure failure, String detail);
}
