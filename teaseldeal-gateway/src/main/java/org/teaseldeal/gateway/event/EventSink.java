package org.teaseldeal.gateway.event;

/** Takes events in; never blocks. */
@FunctionalInterface
public interface EventSink {
  /** Takes one event. */
  void accept(GatewayEvent event);
}
