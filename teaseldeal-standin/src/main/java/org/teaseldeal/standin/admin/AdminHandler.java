package org.teaseldeal.standin.admin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.function.Consumer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.fault.FaultSettings;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.RequestTarget;

/**
 * Serves the admin address with its resources {@code /faults}, {@code /history}, {@code /stats} and
 * {@code /live}.
 */
public final class AdminHandler<F extends Record & FaultSettings> implements HttpHandler {
  private final ActiveFaults<F> faults;
  private final History history;
  private final Consumer<ObjectNode> describeState;
  private final Map<String, Consumer<ObjectNode>> extraResources;

  /**
   * Creates the handler.
   *
   * @param describeState adds the fields of {@code /stats} other than the counts
   * @param extraResources resources that only one kind of stand-in has, by path
   */
  public AdminHandler(
      ActiveFaults<F> faults,
      History history,
      Consumer<ObjectNode> describeState,
      Map<String, Consumer<ObjectNode>> extraResources) {
    this.faults = faults;
    this.history = history;
    this.describeState = describeState;
    this.extraResources = Map.copyOf(extraResources);
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange, RequestTarget.parse(exchange.path()));
    } catch (IllegalArgumentException e) {
      Json.respondError(exchange, 400, String.valueOf(e.getMessage()));
    }
  }

  private void route(HttpExchange exchange, RequestTarget target) {
    String resource = String.join("/", target.segments());
    if (resource.equals("faults") && exchange.method().equals("PUT")) {
      putFaults(exchange);
      return;
    }
    if (!exchange.method().equals("GET")) {
      Json.respondError(exchange, 405, "expected GET, or PUT /faults");
      return;
    }
    get(exchange, resource);
  }

  private void get(HttpExchange exchange, String resource) {
    switch (resource) {
      case "faults" -> Json.respond(exchange, 200, Json.MAPPER.valueToTree(faults.current()));
      case "history" ->
          exchange.respond(200, Map.of("Content-Type", "application/jsonl"), history.jsonLines());
      case "stats" -> respondWith(exchange, this::describeStats);
      case "live" -> Json.respond(exchange, 200, Json.object().put("live", true));
      default -> getExtraResource(exchange, resource);
    }
  }

  private void getExtraResource(HttpExchange exchange, String resource) {
    Consumer<ObjectNode> description = extraResources.get(resource);
    if (description == null) {
      Json.respondError(exchange, 404, "no such resource: /" + resource);
      return;
    }
    respondWith(exchange, description);
  }

  // Keys that the body lacks keep their values, so that a fault can be added to those in force.
  private void putFaults(HttpExchange exchange) {
    ObjectNode changes = Json.readObject(exchange.body());
    faults.update(changes);
    history.add("faults", line -> line.set("set", changes));
    Json.respond(exchange, 200, Json.MAPPER.valueToTree(faults.current()));
  }

  private void describeStats(ObjectNode stats) {
    ObjectNode counts = stats.putObject("counts");
    history.counts().forEach(counts::put);
    describeState.accept(stats);
  }

  private static void respondWith(HttpExchange exchange, Consumer<ObjectNode> description) {
    ObjectNode answer = Json.object();
    description.accept(answer);
    Json.respond(exchange, 200, answer);
  }
}
