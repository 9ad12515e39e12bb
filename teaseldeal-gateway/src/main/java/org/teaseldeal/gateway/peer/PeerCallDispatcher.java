package org.teaseldeal.gateway.peer;

import java.util.Map;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Dispatches the calls of other instances to their handlers by path.
 *
 * @param byPath the handlers of the gateway's own calls
 * @param fallback the handler of all other calls
 */
public record PeerCallDispatcher(Map<String, HttpHandler> byPath, HttpHandler fallback)
    implements HttpHandler {
  public PeerCallDispatcher {
    byPath = Map.copyOf(byPath);
  }

  @Override
  public void handle(HttpExchange exchange) {
    byPath.getOrDefault(exchange.path(), fallback).handle(exchange);
  }
}
