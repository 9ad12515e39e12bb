package org.teaseldeal.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.RequestTarget;
import org.teaseldeal.standin.runtime.Scheduler;

/** Serves registrations and the lagged instance list over HTTP. */
final class InstanceHandler {
  private final InstanceRegistry registry;
  private final Duration lag;
  private final Scheduler scheduler;
  private final ActiveFaults<PlatformFaults> faults;
  private final History history;

  InstanceHandler(
      InstanceRegistry registry,
      Duration lag,
      Scheduler scheduler,
      ActiveFaults<PlatformFaults> faults,
      History history) {
    this.registry = registry;
    this.lag = lag;
    this.scheduler = scheduler;
    this.faults = faults;
    this.history = history;
  }

  void handleList(HttpExchange exchange) {
    if (rejectedByOutage(exchange)) {
      return;
    }
    long latencyMs = faults.current().listLatencyMs();
    if (latencyMs == 0) {
      answerList(exchange);
      return;
    }
    scheduler.schedule(Duration.ofMillis(latencyMs), () -> answerList(exchange));
  }

  void handleInstance(HttpExchange exchange, RequestTarget target) {
    if (rejectedByOutage(exchange)) {
      return;
    }
    String id = target.segments().get(1);
    switch (exchange.method()) {
      case "PUT" -> put(exchange, id);
      case "DELETE" -> delete(exchange, id);
      default -> Json.respondError(exchange, 405, "expected PUT or DELETE");
    }
  }

  private void put(HttpExchange exchange, String id) {
    RegisteredInstance instance = RegisteredInstance.read(id, Json.readObject(exchange.body()));
    registry.put(instance);
    history.add("instance-put", line -> line.set("instance", instance.toJson()));
    Json.respond(exchange, 200, instance.toJson());
  }

  private void delete(HttpExchange exchange, String id) {
    boolean removed = registry.remove(id);
    history.add("instance-delete", line -> line.put("id", id).put("removed", removed));
    Json.respond(exchange, removed ? 200 : 404, Json.object().put("removed", removed));
  }

  private void answerList(HttpExchange exchange) {
    InstanceRegistry.Version version = registry.list(lag.plusMillis(faults.current().listLagMs()));
    ObjectNode answer = Json.object().put("as_of", version.asOf().toString());
    ArrayNode instances = answer.putArray("instances");
    version.instances().forEach(instance -> instances.add(instance.toJson()));
    Json.respond(exchange, 200, answer);
  }

  private boolean rejectedByOutage(HttpExchange exchange) {
    if (!faults.current().listOutage()) {
      return false;
    }
    Json.respondError(exchange, 503, "the instance list is down");
    return true;
  }
}
