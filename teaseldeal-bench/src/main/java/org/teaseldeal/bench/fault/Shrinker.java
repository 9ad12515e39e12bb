package org.teaseldeal.bench.fault;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.function.Predicate;

/** Shortens a failing plan by removing the steps that it does not need to fail. */
final class Shrinker {
  private static final int MAX_TRIES = 400;

  private final Predicate<FaultPlan> fails;
  private int tries;

  Shrinker(Predicate<FaultPlan> fails) {
    this.fails = fails;
  }

  /** Returns the shortest failing plan found within {@value #MAX_TRIES} attempts. */
  FaultPlan shrink(FaultPlan failing) {
    FaultPlan fewerFaults = drop(failing, FaultPlan::faults, FaultPlan::withFaults);
    return drop(fewerFaults, FaultPlan::calls, FaultPlan::withCalls);
  }

  /**
   * Removes groups of consecutive steps as long as the plan fails without them. The group size is
   * halved whenever no group of that size can be removed.
   */
  private <T> FaultPlan drop(
      FaultPlan plan,
      Function<FaultPlan, List<T>> steps,
      BiFunction<FaultPlan, List<T>, FaultPlan> with) {
    FaultPlan shortest = plan;
    int length = Math.max(1, steps.apply(plan).size() / 2);
    while (length >= 1 && tries < MAX_TRIES) {
      boolean dropped = false;
      for (int from = 0; from < steps.apply(shortest).size() && tries < MAX_TRIES; ) {
        List<T> fewer = new ArrayList<>(steps.apply(shortest));
        fewer.subList(from, Math.min(from + length, fewer.size())).clear();
        FaultPlan candidate = with.apply(shortest, fewer);
        tries++;
        if (fails.test(candidate)) {
          shortest = candidate;
          dropped = true;
        } else {
          from += length;
        }
      }
      if (!dropped) {
        length /= 2;
      }
    }
    return shortest;
  }
}
