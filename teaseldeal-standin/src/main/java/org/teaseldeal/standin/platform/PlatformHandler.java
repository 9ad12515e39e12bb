package org.teaseldeal.standin.platform;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.InstantSource;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.RequestTarget;
import org.teaseldeal.standin.runtime.Scheduler;

/** Serves the platform over HTTP: log, instance list and weight store. */
public final class PlatformHandler implements HttpHandler {
  private final LogService log;
  private final LogHandler logHandler;
  private final InstanceHandler instanceHandler;
  private final WeightStore weights;

  public PlatformHandler(
      InstantSource clock,
      Scheduler scheduler,
      PlatformSettings settings,
      ActiveFaults<PlatformFaults> faults,
      History history) {
    log = new LogService(clock, scheduler, settings.log());
    logHandler = new LogHandler(log, settings.log().maxRecordBytes(), scheduler, faults, history);
    InstanceRegistry registry = new InstanceRegistry(clock, settings.instances().expiry());
    instanceHandler =
        new InstanceHandler(registry, settings.instances().lag(), scheduler, faults, history);
    weights = new WeightStore(clock, settings.weights(), faults);
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange, RequestTarget.parse(exchange.path()));
    } catch (IllegalArgumentException e) {
      Json.respondError(exchange, 400, String.valueOf(e.getMessage()));
    }
  }

  /** Adds the state of the streams and the number of waiting reads to {@code stats}. */
  public void describe(ObjectNode stats) {
    ObjectNode streams = stats.putObject("streams");
    log.streams()
        .forEach(
            (name, stream) ->
                streams
                    .putObject(name)
                    .put("earliest", stream.earliestOffset())
                    .put("next", stream.nextOffset()));
    stats.put("waiting_reads", log.waitingReads());
  }

  private void route(HttpExchange exchange, RequestTarget target) {
    if (target.matches("log", "*", "records")) {
      logHandler.handle(exchange, target);
    } else if (target.matches("instances") && exchange.method().equals("GET")) {
      instanceHandler.handleList(exchange);
    } else if (target.matches("instances", "*")) {
      instanceHandler.handleInstance(exchange, target);
    } else if (target.matches("weights", "*") && exchange.method().equals("GET")) {
      weights.get(exchange);
    } else {
      Json.respondError(
          exchange, 404, "no such resource: " + exchange.method() + " " + exchange.path());
    }
  }
}
