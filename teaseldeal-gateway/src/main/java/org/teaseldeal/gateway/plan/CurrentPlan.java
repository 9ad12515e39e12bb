package org.teaseldeal.gateway.plan;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;

/**
 * Holds the current plan, which never returns to a lower version.
 *
 * <p>Plans arrive over several channels, and a slow one may deliver an older version after a newer
 * one. Without the check, a route or a key that a caller has just used could be missing again.
 */
public final class CurrentPlan {
  private final EventSink events;
  private volatile @Nullable GatewayPlan plan;

  /** Creates a holder without a plan. */
  public CurrentPlan(EventSink events) {
    this.events = events;
  }

  /** Returns the current plan; null until one is known. */
  public @Nullable GatewayPlan get() {
    return plan;
  }

  /**
   * Replaces the current plan if {@code offered} is newer; returns whether it was.
   *
   * @param source the channel over which the plan arrived
   * @param took how long the event loop was blocked by reading it
   */
  public boolean offer(GatewayPlan offered, String source, Duration took) {
    GatewayPlan current = plan;
    if (current != null && offered.version() <= current.version()) {
      return false;
    }
    plan = offered;
    events.accept(
        new GatewayEvent.PlanInForce(offered.version(), offered.routeCount(), source, took));
    return true;
  }
}
