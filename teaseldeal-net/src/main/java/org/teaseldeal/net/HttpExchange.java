package org.teaseldeal.net;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * One request and its answer.
 *
 * <p>Safe to use from any thread; calls take effect in the order made. The answer is either one
 * {@link #respond}, one {@link #startStream} or one {@link #abort}.
 */
public interface HttpExchange {
  /** The method in upper case. */
  String method();

  /** The path and query as sent. */
  String path();

  /** The first header of that name, without regard to case. */
  Optional<String> header(String name);

  /** All headers as sent, in order. */
  List<Map.Entry<String, String>> headers();

  /** The whole body; empty if there is none. */
  byte[] body();

  /** How long ago the request's head had arrived. */
  Duration sinceHead();

  /** The caller's IP number. */
  String remoteAddress();

  /** Sends a whole answer. */
  void respond(int status, Map<String, String> headers, byte[] body);

  /** Sends the head of an answer whose body follows in parts. */
  ResponseStream startStream(int status, Map<String, String> headers);

  /** Closes the connection without an answer. */
  void abort();

  /** Runs {@code action} once if the caller closes its connection before the answer has ended. */
  void onCallerGone(Runnable action);
}
