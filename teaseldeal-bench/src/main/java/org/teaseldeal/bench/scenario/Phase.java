package org.teaseldeal.bench.scenario;

import java.time.Duration;
import java.util.Set;
import org.teaseldeal.api.Preconditions;

/**
 * A span of a scenario in which flows send {@code factor} times their rate.
 *
 * @param flows the names of the flows that the phase applies to; empty for all flows
 */
public record Phase(Duration from, Duration to, double factor, Set<String> flows) {
  public Phase {
    Preconditions.require(
        to.compareTo(from) > 0, "to was %s, expected after from, %s".formatted(to, from));
    Preconditions.require(factor >= 0, "factor was %s, expected 0 or more".formatted(factor));
    flows = Set.copyOf(flows);
  }

  /** Returns the factor for a flow at a time, which is 1 outside the phase. */
  public double factorAt(Duration at, String flow) {
    boolean inside = at.compareTo(from) >= 0 && at.compareTo(to) < 0;
    boolean applies = flows.isEmpty() || flows.contains(flow);
    return inside && applies ? factor : 1;
  }
}
