package org.teaseldeal.bench.scenario;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * A change of a stand-in's faults during a scenario.
 *
 * @param at the time of the change, counted from the start of the scenario
 * @param target the stand-in's name in the fleet, such as {@code engine-3}
 * @param json the faults to set, in the format of the stand-in's admin address
 */
public record FaultChange(Duration at, String target, String json) {
  public FaultChange {
    Preconditions.requireName(target, "target");
    Preconditions.requireText(json, "faults");
  }
}
