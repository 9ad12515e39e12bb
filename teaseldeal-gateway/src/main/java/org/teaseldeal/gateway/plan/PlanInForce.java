package org.teaseldeal.gateway.plan;

import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;

/**
 * The plan in force; it never goes back to a lower version.
 *
 * <p>News come by several ways, and a slow one may bring an older version after a newer one. A
 * caller would then find a route or a key gone that it has used a moment before.
 */
public final class PlanInForce {
  private final EventSink events;
  private volatile @Nullable GatewayPlan plan;

  /** Starts without a plan. */
  public PlanInForce(EventSink events) {
    this.events = events;
  }

  /** The plan in force; null until one is known. */
  public @Nullable GatewayPlan get() {
    return plan;
  }

  /** Puts a plan in force if it is newer; {@code source} says how it came. */
  public boolean offer(GatewayPlan offered, String source) {
    GatewayPlan present = plan;
    if (present != null && offered.version() <= present.version()) {
      return false;
    }
    plan = offered;
    events.accept(new GatewayEvent.PlanInForce(offered.version(), offered.routeCount(), source));
    return true;
  }
}
