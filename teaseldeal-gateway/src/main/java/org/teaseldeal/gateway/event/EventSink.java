package org.teaseldeal.gateway.event;

/** Takes events in; never blocks. */
@FunctionalInterface
public interface EventSink {
  /** Takes one event. */
  void accept(GatewayEvent event);

  /** A sink that passes each event on to this one and then to {@code other}. */
  default EventSink and(EventSink other) {
    return event -> {
      accept(event);
      other.accept(event);
    };
  }
}
