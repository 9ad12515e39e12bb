package org.teaseldeal.net;

/** Answers requests. It is called on the connection's event loop, so it must not block. */
@FunctionalInterface
public interface HttpHandler {
  /** Handles a request whose head and body have been received completely. */
  void handle(HttpExchange exchange);
}
