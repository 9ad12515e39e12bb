package org.teaseldeal.router.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.EngineOrder;
import org.teaseldeal.api.EngineState;
import org.teaseldeal.cli.log.LogLine;
import org.teaseldeal.core.command.InstanceCommand;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.router.json.Json;

/** Sends orders to engines, and queries which models, adapters and role they have. */
public final class EngineOrderCalls {
  private static final Duration STATE_QUERY_TIMEOUT = Duration.ofSeconds(2);

  /**
   * How long an order may take. It is shorter than the time that the instance waits for the result;
   * the state of an engine that takes longer to load is queried instead.
   */
  private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client;
  private final Consumer<InstanceEvent> events;

  /** Creates a sender; {@code events} receives the results and is called from any thread. */
  public EngineOrderCalls(HttpClient client, Consumer<InstanceEvent> events) {
    this.client = client;
    this.events = events;
  }

  /** Queries an engine for its models, its adapters and its role. */
  public void queryState(InstanceCommand.QueryOrderState command) {
    client
        .fetch(
            new HttpCallRequest(
                command.address(),
                "GET",
                "/orders/state",
                Map.of(),
                new byte[0],
                STATE_QUERY_TIMEOUT))
        .whenComplete(
            (answer, failure) -> events.accept(stateEvent(command.server(), answer, failure)));
  }

  private static InstanceEvent stateEvent(
      BackendServerId server, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (answer == null || answer.status() != 200) {
      return new InstanceEvent.OrderStateQueryFailed(server, failureDetail(answer, failure));
    }
    try {
      ObjectNode state = Json.readObject(answer.body());
      return new InstanceEvent.OrderStateReported(
          server,
          new EngineState(
              versions(state, "models"), versions(state, "adapters"), text(state, "role")));
    } catch (IllegalArgumentException e) {
      return new InstanceEvent.OrderStateQueryFailed(server, String.valueOf(e.getMessage()));
    }
  }

  /**
   * Reads an object of versions by name.
   *
   * <p>A report that lacks the object is refused. If it were read as empty, the instance would
   * order the engine to load everything again.
   */
  private static Map<String, String> versions(ObjectNode state, String field) {
    if (!(state.get(field) instanceof ObjectNode versions)) {
      throw new IllegalArgumentException("no object \"%s\"".formatted(field));
    }
    Map<String, String> byName = new TreeMap<>();
    versions.fieldNames().forEachRemaining(name -> byName.put(name, text(versions, name)));
    return byName;
  }

  private static String text(ObjectNode node, String field) {
    JsonNode value = node.get(field);
    if (value == null || !value.isTextual()) {
      throw new IllegalArgumentException("no text \"%s\"".formatted(field));
    }
    return value.asText();
  }

  /** Sends an order to an engine. */
  public void send(InstanceCommand.SendOrder command) {
    EngineOrder order = command.order();
    LogLine.of("order sent to engine")
        .with("server", command.server())
        .with("fencing", command.fencing())
        .with("kind", order.kind().label())
        .with("target", order.target())
        .with("version", order.version())
        .info();
    ObjectNode body =
        Json.object()
            .put("fencing", command.fencing())
            .put("kind", order.kind().label())
            .put("target", order.target())
            .put("version", order.version());
    client
        .fetch(
            new HttpCallRequest(
                command.address(),
                "POST",
                "/orders",
                Map.of("Content-Type", "application/json"),
                Json.bytes(body),
                ORDER_TIMEOUT))
        .whenComplete((answer, failure) -> events.accept(orderEvent(command, answer, failure)));
  }

  private static InstanceEvent orderEvent(
      InstanceCommand.SendOrder command, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (answer != null && answer.status() == 200) {
      return new InstanceEvent.OrderAccepted(command.server(), command.number());
    }
    if (answer != null && answer.status() == 409) {
      return refusalEvent(command, answer);
    }
    return new InstanceEvent.OrderFailed(
        command.server(), command.number(), failureDetail(answer, failure));
  }

  private static InstanceEvent refusalEvent(InstanceCommand.SendOrder command, HttpAnswer answer) {
    try {
      JsonNode highestToken = Json.readObject(answer.body()).path("highest");
      if (highestToken.isIntegralNumber()) {
        return new InstanceEvent.OrderRefused(
            command.server(), command.number(), highestToken.asLong());
      }
    } catch (IllegalArgumentException e) {
      // Reported as a failure below.
    }
    return new InstanceEvent.OrderFailed(
        command.server(), command.number(), "409 without the highest number");
  }

  private static String failureDetail(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    return answer == null ? String.valueOf(failure) : "the engine answered " + answer.status();
  }
}
