package org.teaseldeal.gateway.peer;

import java.util.Map;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Answers the calls of other instances.
 *
 * @param byPath handlers of this gateway's own calls
 * @param others handles all further calls
 */
public record PeerCalls(Map<String, HttpHandler> byPath, HttpHandler others)
    implements HttpHandler {
  public PeerCalls {
    byPath = Map.copyOf(byPath);
  }

  @Override
  public void handle(HttpExchange exchange) {
    byPath.getOrDefault(exchange.path(), others).handle(exchange);
  }
}
