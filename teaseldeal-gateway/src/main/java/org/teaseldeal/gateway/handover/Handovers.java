package org.teaseldeal.gateway.handover;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.HandoverPolicy;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.flow.HandedOverRequests;
import org.teaseldeal.gateway.flow.RequestDispatcher;
import org.teaseldeal.gateway.path.BackendPort;
import org.teaseldeal.gateway.plan.GatewayPlan;

/**
 * Both sides of an instance that hands requests over and takes those of others.
 *
 * @param sent the requests of its own callers
 * @param received the requests of other instances
 */
public record Handovers(RequestHandover sent, HandoverReceiver received)
    implements HandedOverRequests {
  /**
   * Creates both sides of an instance.
   *
   * @param siblings sends requests to other instances
   * @param addresses supplies the addresses of the other instances
   * @param takesRequests whether the instance is ready and does not stop
   * @param delay by how much the instance's event loop is late
   */
  public static Handovers create(
      String instance,
      RequestDispatcher dispatcher,
      BackendPort siblings,
      Supplier<List<String>> addresses,
      BooleanSupplier takesRequests,
      Supplier<Duration> delay,
      Supplier<@Nullable GatewayPlan> plan,
      EventSink events,
      InstantSource clock,
      RandomGenerator random) {
    HandoverPolicy policy = new HandoverPolicy(random);
    return new Handovers(
        new RequestHandover(
            instance,
            dispatcher,
            siblings,
            addresses,
            takesRequests,
            delay,
            plan,
            policy,
            events,
            clock),
        new HandoverReceiver(dispatcher, plan, takesRequests, delay, policy, events));
  }

  @Override
  public int taken() {
    return received.openRequests();
  }

  @Override
  public int abortHandedOver() {
    return sent.abortAll();
  }
}
