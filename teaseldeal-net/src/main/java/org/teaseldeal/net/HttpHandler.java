package org.teaseldeal.net;

/** Answers requests. It is called on the connection's event loop, so it must not block. */
@FunctionalInterface
public interface HttpHandler {
  /**
   * The status that a server answers with if a handler throws an exception. It promises nothing:
   * the handler may have begun to carry out the request.
   */
  int FAILED_STATUS = 500;

  /** Handles a request whose head and body have been received completely. */
  void handle(HttpExchange exchange);
}
