package org.teaseldeal.bench.scenario;

import java.time.Duration;
import java.util.List;
import org.teaseldeal.api.Preconditions;

/**
 * A load, described by its flows of requests, the phases in which their rates change, and the
 * faults that are set while it runs.
 */
public record Scenario(
    String name,
    String title,
    long seed,
    Duration duration,
    List<Flow> flows,
    List<Phase> phases,
    List<FaultChange> faults) {
  /** The longest duration of a scenario, which ensures that a load always ends. */
  public static final Duration MAX_DURATION = Duration.ofMinutes(30);

  public Scenario {
    Preconditions.require(
        duration.compareTo(MAX_DURATION) <= 0,
        "duration was %s, expected at most %s".formatted(duration, MAX_DURATION));
    flows = List.copyOf(flows);
    phases = List.copyOf(phases);
    faults = List.copyOf(faults);
  }

  /** Returns this scenario with another seed, and therefore with other arrival times. */
  public Scenario withSeed(long newSeed) {
    return new Scenario(name, title, newSeed, duration, flows, phases, faults);
  }

  /** Returns a flow's rate at a time. */
  public double rateAt(Flow flow, Duration at) {
    double rate = flow.perSecond();
    for (Phase phase : phases) {
      rate *= phase.factorAt(at, flow.name());
    }
    return rate;
  }

  /** Returns an upper bound of the rate that a flow reaches. */
  public double peakRate(Flow flow) {
    double peak = flow.perSecond();
    for (Phase phase : phases) {
      peak *= Math.max(1, phase.factorAt(phase.from(), flow.name()));
    }
    return peak;
  }
}
