package org.teaseldeal.router.fake;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpServer;
import org.teaseldeal.net.HttpServerConfig;
import org.teaseldeal.net.IpAddresses;

/** A backend server whose requests a test answers, except those for the load. */
public final class FakeBackendServer implements AutoCloseable {
  private final LinkedBlockingQueue<HttpExchange> requests = new LinkedBlockingQueue<>();
  private final HttpServer server =
      HttpServer.start(HttpServerConfig.defaults("127.0.0.1", 0), this::handle);

  public FakeBackendServer() throws IOException {}

  public String address() {
    return IpAddresses.format(server.address());
  }

  /**
   * Waits for the next request other than for the load; fails if none arrives within 20 seconds.
   */
  public HttpExchange awaitRequest() throws InterruptedException {
    HttpExchange exchange = requests.poll(20, TimeUnit.SECONDS);
    if (exchange == null) {
      throw new AssertionError("no request arrived within 20 s");
    }
    return exchange;
  }

  /** Returns whether a request was received that {@link #awaitRequest} has not returned yet. */
  public boolean hasRequest() {
    return !requests.isEmpty();
  }

  @Override
  public void close() {
    server.close();
  }

  /** Returns a frame of an engine's answer as a server-sent event. */
  public static byte[] frame(String attempt, int position, String content) {
    return event(
        """
        {"id":"e","model":"m","choices":[{"index":0,"delta":{"content":"%s"}}],"attempt":"%s",\
        "position":%d}"""
            .formatted(content, attempt, position));
  }

  /** Returns the last chunk of an engine's answer, which carries the usage, and the end marker. */
  public static byte[] usage(String attempt, int frames, int input, int output) {
    return event(
        """
        {"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d},"attempt":"%s",\
        "position":%d}

        data: [DONE]"""
            .formatted(input, output, attempt, frames));
  }

  private static byte[] event(String data) {
    return ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
  }

  private void handle(HttpExchange exchange) {
    if (exchange.path().equals("/load")) {
      exchange.respond(
          200,
          Map.of(),
          "{\"running\":1,\"waiting\":0,\"cache_use\":0.5,\"as_of\":\"2026-01-01T00:00:00Z\"}"
              .getBytes(StandardCharsets.UTF_8));
      return;
    }
    requests.add(exchange);
  }
}
