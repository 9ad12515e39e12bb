package org.teaseldeal.gateway.event;

/** Receives events. Implementations must not block. */
@FunctionalInterface
public interface EventSink {
  /** Receives one event. */
  void accept(GatewayEvent event);

  /** A sink that passes each event to this sink and then to {@code other}. */
  default EventSink and(EventSink other) {
    return event -> {
      accept(event);
      other.accept(event);
    };
  }
}
