package org.teaseldeal.operator.fake;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;

/** A fake admin listener of an instance, which reports a configurable folded offset. */
public final class FakeInstance implements AutoCloseable {
  /** The credential that the listener requires. */
  public static final String TOKEN = "admin-secret";

  private final HttpServer server;
  private volatile long foldedTo;
  private volatile boolean draining;
  private volatile boolean suspended;

  /** Starts a listener that reports {@code foldedTo} as the folded offset. */
  public FakeInstance(long foldedTo) throws IOException {
    this.foldedTo = foldedTo;
    server = HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), this::handle);
  }

  /** Returns the address of the listener. */
  public String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  /** Sets the folded offset that the listener reports. */
  public void foldTo(long offset) {
    foldedTo = offset;
  }

  /** Accepts requests from now on without responding to any, like a suspended process. */
  public void suspend() {
    suspended = true;
  }

  /** Returns whether the instance has been asked to drain. */
  public boolean draining() {
    return draining;
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpExchange exchange) {
    if (suspended) {
      return;
    }
    if (!exchange.header("Authorization").equals(Optional.of("Bearer " + TOKEN))) {
      respond(exchange, 401, "");
      return;
    }
    switch (exchange.method() + " " + exchange.path()) {
      case "GET /ready" ->
          respond(
              exchange,
              200,
              "{\"ready\":true,\"folded_to\":{\"teaseldeal-ledger-0\":%d}}".formatted(foldedTo));
      case "GET /dump" -> respond(exchange, 200, "{\"requests\":[],\"attempts\":[]}");
      case "POST /drain" -> {
        draining = true;
        respond(exchange, 202, "{}");
      }
      default -> respond(exchange, 404, "");
    }
  }

  private static void respond(HttpExchange exchange, int status, String body) {
    exchange.respond(status, Map.of(), body.getBytes(StandardCharsets.UTF_8));
  }
}
