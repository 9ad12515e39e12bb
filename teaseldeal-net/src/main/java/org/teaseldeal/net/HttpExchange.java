package org.teaseldeal.net;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request and its answer.
 *
 * <p>Safe for use by multiple threads; the calls take effect in the order in which they are made. A
 * request is answered by exactly one call of {@link #respond}, {@link #startStream}, {@link
 * #startEncoded} or {@link #abort}.
 */
public interface HttpExchange {
  /** Returns the method in upper case. */
  String method();

  /** Returns the path and the query as received. */
  String path();

  /** Returns the value of the first header with this name, ignoring case. */
  Optional<String> header(String name);

  /** Returns all headers as received, in order. */
  List<Map.Entry<String, String>> headers();

  /** Returns the complete body; empty if there is none. */
  byte[] body();

  /** Returns the time since the request's head was received. */
  Duration timeSinceHead();

  /** Returns the caller's IP address. */
  String remoteAddress();

  /** Sends a complete answer. */
  void respond(int status, Map<String, String> headers, byte[] body);

  /** Sends the head of an answer whose body follows in parts. */
  ResponseStream startStream(int status, Map<String, String> headers);

  /**
   * Starts an answer that the handler encodes.
   *
   * @throws UnsupportedOperationException if the exchange is not one of an {@link HttpServer}
   */
  default EncodedAnswer startEncoded() {
    throw new UnsupportedOperationException("this exchange has no connection to write to");
  }

  /** Closes the connection without an answer. */
  void abort();

  /** Runs {@code action} once if the caller closes its connection before the answer has ended. */
  void onCallerDisconnect(Runnable action);
}
