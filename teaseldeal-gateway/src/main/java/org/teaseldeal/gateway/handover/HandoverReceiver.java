package org.teaseldeal.gateway.handover;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.HandoverPolicy;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.flow.RequestDispatcher;
import org.teaseldeal.gateway.handover.HandoverMessage.Result;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Takes requests that other instances hand over, and has them handled like those of this instance's
 * own callers. It never hands them over again.
 *
 * <p>Like all calls on the address for other instances, it may be called by any process that
 * reaches that address. Such a call can do no more than a caller's: the request's own key is
 * checked.
 */
public final class HandoverReceiver implements HttpHandler {
  /** The path of the calls: a question whether a request would be taken, or a request. */
  public static final String PATH = "/handovers";

  /** Limits the memory that requests of other instances take, with the size of their bodies. */
  private static final int MAX_OPEN_REQUESTS = 256;

  private static final int MAX_TAKEN_BYTES = 4 << 20;

  /** The number of requests that are remembered, so that none is run again if it is repeated. */
  private static final int REMEMBERED_REQUESTS = 4_096;

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;

  private final RequestDispatcher dispatcher;
  private final Supplier<@Nullable GatewayPlan> plan;
  private final BooleanSupplier takesRequests;
  private final Supplier<Duration> delay;
  private final HandoverPolicy policy;
  private final EventSink events;
  private final Set<String> taken = Collections.newSetFromMap(new RecentRequests());
  private int openRequests;
  private int takenBytes;

  /**
   * Creates the receiver of an instance.
   *
   * @param takesRequests whether the instance is ready and does not stop
   * @param delay by how much the instance's event loop is late
   */
  public HandoverReceiver(
      RequestDispatcher dispatcher,
      Supplier<@Nullable GatewayPlan> plan,
      BooleanSupplier takesRequests,
      Supplier<Duration> delay,
      HandoverPolicy policy,
      EventSink events) {
    this.dispatcher = dispatcher;
    this.plan = plan;
    this.takesRequests = takesRequests;
    this.delay = delay;
    this.policy = policy;
    this.events = events;
  }

  /** The number of requests of other instances whose answer has not ended. */
  public int openRequests() {
    return openRequests;
  }

  @Override
  public void handle(HttpExchange exchange) {
    if (exchange.method().equals("GET")) {
      boolean willing = takesRequests.getAsBoolean() && openRequests < MAX_OPEN_REQUESTS;
      respond(
          exchange, willing ? OK : UNAVAILABLE, willing ? Result.WILLING : Result.NOT_TAKEN, "");
      return;
    }
    HandoverMessage message;
    try {
      message = HandoverMessage.decode(exchange.body());
    } catch (IllegalArgumentException e) {
      reject(exchange, "", BAD_REQUEST, Result.NOT_TAKEN, String.valueOf(e.getMessage()));
      return;
    }
    if (taken.contains(id(message))) {
      reject(exchange, message.sender(), CONFLICT, Result.REPEATED, "it was taken before");
      return;
    }
    String obstacle = obstacle(message);
    if (!obstacle.isEmpty()) {
      respond(exchange, UNAVAILABLE, Result.NOT_TAKEN, obstacle);
      return;
    }
    take(exchange, message);
  }

  private void take(HttpExchange exchange, HandoverMessage message) {
    taken.add(id(message));
    openRequests++;
    takenBytes += message.body().length;
    HandedOverExchange handedOver =
        new HandedOverExchange(exchange, message, () -> onEnded(message));
    events.accept(
        new GatewayEvent.HandoverTaken(
            dispatcher.requestId(handedOver), message.sender(), message.waited()));
    dispatcher.handleHandedOver(handedOver, message.maxAttempts());
  }

  private void onEnded(HandoverMessage message) {
    openRequests--;
    takenBytes -= message.body().length;
  }

  /** Why a request is not taken; empty if it is. */
  private String obstacle(HandoverMessage message) {
    GatewayPlan current = plan.get();
    if (current == null || !takesRequests.getAsBoolean()) {
      return "the instance is not ready, or stops";
    }
    // A caller must not be answered by a newer plan than the one by which the sender handles the
    // caller's next request.
    if (current.version() != message.planVersion()) {
      return "the plan's version is %d, expected %d"
          .formatted(current.version(), message.planVersion());
    }
    if (openRequests >= MAX_OPEN_REQUESTS || takenBytes + message.body().length > MAX_TAKEN_BYTES) {
      return "%d requests of %d bytes were taken".formatted(openRequests, takenBytes);
    }
    Optional<Route> route = current.route(host(message), message.target());
    Duration late = delay.get();
    boolean accepted =
        route.isEmpty() || policy.accepts(late, message.senderDelay(), route.get().aim());
    return accepted ? "" : "the instance is late by %d ms".formatted(late.toMillis());
  }

  private static String host(HandoverMessage message) {
    return message.headers().stream()
        .filter(header -> header.getKey().equalsIgnoreCase("host"))
        .map(Map.Entry::getValue)
        .findFirst()
        .orElse("");
  }

  private static String id(HandoverMessage message) {
    return message.number() + "@" + message.sender();
  }

  private void reject(
      HttpExchange exchange, String sender, int status, Result result, String detail) {
    events.accept(new GatewayEvent.HandoverRejected(sender, result.name(), detail));
    respond(exchange, status, result, detail);
  }

  private static void respond(HttpExchange exchange, int status, Result result, String detail) {
    exchange.respond(
        status,
        HandoverMessage.withResult(exchange, Map.of(), result),
        detail.getBytes(StandardCharsets.UTF_8));
  }

  private static final class RecentRequests extends LinkedHashMap<String, Boolean> {
    private static final long serialVersionUID = 1;

    @Override
    protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
      return size() > REMEMBERED_REQUESTS;
    }
  }
}
