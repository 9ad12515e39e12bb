package org.teaseldeal.gateway.peer;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.RelayChoice;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;

/**
 * Calls a service directly, or through another instance as a relay if the service can't be reached
 * or rejects this instance's calls.
 *
 * <p>Only for calls that may be repeated, as a call may reach the service both ways.
 */
public final class RelayedCalls {
  /** Sends a call. The returned future completes on the instance's event loop. */
  @FunctionalInterface
  public interface Caller {
    /** Sends {@code request} and collects its complete answer. */
    CompletableFuture<HttpAnswer> call(HttpCallRequest request);
  }

  /** The statuses with which a service rejects an instance's calls. */
  private static final int TOO_MANY_REQUESTS = 429;

  private static final int UNAVAILABLE = 503;

  private final String service;
  private final Caller direct;
  private final Supplier<List<String>> relays;
  private final RelayChoice choice;
  private final EventSink events;
  private final InstantSource clock;

  /**
   * Creates the calls to one service.
   *
   * @param service the service's name in logs
   * @param instance the name of this instance, which determines the first relay so that the
   *     instances use different ones
   * @param relays supplies the addresses of the other instances
   */
  public RelayedCalls(
      String service,
      Caller direct,
      Supplier<List<String>> relays,
      String instance,
      EventSink events,
      InstantSource clock) {
    this.service = service;
    this.direct = direct;
    this.relays = relays;
    this.choice = new RelayChoice(instance.hashCode());
    this.events = events;
    this.clock = clock;
  }

  /** Whether the last direct call reached the service, so that calls are sent directly. */
  public boolean direct() {
    return !choice.relaying();
  }

  /** Sends {@code request} to its own address or to a relay. */
  public CompletableFuture<HttpAnswer> call(HttpCallRequest request) {
    return call(request, relays.get().size());
  }

  /**
   * Sends a request. If a relay rejects it, the next relay is tried at once.
   *
   * @param remainingRelays the number of relays that may be tried after the first one
   */
  private CompletableFuture<HttpAnswer> call(HttpCallRequest request, int remainingRelays) {
    List<String> present = relays.get();
    Optional<String> relay = choice.nextRelay(present, clock.instant());
    if (relay.isEmpty()) {
      return direct.call(request).whenComplete(this::onDirect);
    }
    return direct
        .call(withAddress(request, relay.get()))
        .whenComplete(
            (answer, failure) ->
                choice.onRelayedCall(reached(answer, failure), present.size(), clock.instant()))
        .thenCompose(
            answer ->
                answer.status() == UNAVAILABLE && remainingRelays > 0
                    ? call(request, remainingRelays - 1)
                    : CompletableFuture.completedFuture(answer));
  }

  private void onDirect(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    boolean before = choice.relaying();
    choice.onDirectCall(reached(answer, failure), clock.instant());
    if (before != choice.relaying()) {
      events.accept(
          new GatewayEvent.Dependency(service + ", directly", before, reason(answer, failure)));
    }
  }

  private static boolean reached(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    return failure == null
        && answer != null
        && answer.status() != UNAVAILABLE
        && answer.status() != TOO_MANY_REQUESTS;
  }

  private static String reason(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (failure != null) {
      return String.valueOf(failure.getMessage());
    }
    return answer == null ? "" : "status " + answer.status();
  }

  private static HttpCallRequest withAddress(HttpCallRequest request, String address) {
    return new HttpCallRequest(
        address,
        request.method(),
        request.path(),
        request.headers(),
        request.body(),
        request.timeout());
  }
}
