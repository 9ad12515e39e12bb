package org.teaseldeal.gateway.peer;

import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Answers the calls of other instances.
 *
 * @param draws of tokens
 * @param others all further calls
 */
public record PeerCalls(HttpHandler draws, HttpHandler others) implements HttpHandler {
  @Override
  public void handle(HttpExchange exchange) {
    HttpHandler handler = exchange.path().equals(DrawCalls.PATH) ? draws : others;
    handler.handle(exchange);
  }
}
