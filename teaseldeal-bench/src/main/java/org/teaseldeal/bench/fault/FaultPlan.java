package org.teaseldeal.bench.fault;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * The requests and faults of a run.
 *
 * <p>They are fixed before the run starts, so that a failing plan can be shortened by removing
 * single steps.
 */
record FaultPlan(
    long seed, Deployment deployment, long budget, List<CallStep> calls, List<FaultStep> faults) {
  /**
   * The period from the start of a run in which requests are sent and faults begin. The run clears
   * the remaining faults afterwards.
   */
  static final Duration ACTIVE_TIME = Duration.ofSeconds(12);

  private static final int CALL_COUNT = 150;
  private static final int MAX_FAULT_MILLIS = 4_000;
  private static final CallStep.Service[] SERVICES = CallStep.Service.values();

  FaultPlan {
    calls = List.copyOf(calls);
    faults = List.copyOf(faults);
  }

  /**
   * Draws a plan from a seed. Every second fault begins while the fault before it lasts, so that
   * faults overlap.
   */
  static FaultPlan draw(long seed, Deployment deployment, Set<FaultKind> kinds) {
    SplittableRandom random = new SplittableRandom(seed);
    // The range covers budgets that run out during the run and budgets that do not.
    long budget = 900 + 900L * random.nextInt(8);
    return new FaultPlan(seed, deployment, budget, calls(random), faults(random, kinds));
  }

  private static List<CallStep> calls(SplittableRandom random) {
    List<CallStep> calls = new ArrayList<>();
    int keys = 0;
    for (int i = 0; i < CALL_COUNT; i++) {
      CallStep.Service service = SERVICES[random.nextInt(SERVICES.length)];
      String key = null;
      if (!service.idempotent() || random.nextInt(4) == 0) {
        keys = random.nextInt(3) == 0 ? keys : keys + 1;
        key = service.label() + "-" + keys;
      }
      Duration at = Duration.ofMillis(random.nextLong(ACTIVE_TIME.toMillis()));
      calls.add(new CallStep(at, service, random.nextInt(64), key, drawDisconnectTime(random)));
    }
    return calls;
  }

  private static @Nullable Duration drawDisconnectTime(SplittableRandom random) {
    return random.nextInt(12) == 0 ? Duration.ofMillis(random.nextInt(150)) : null;
  }

  private static List<FaultStep> faults(SplittableRandom random, Set<FaultKind> kinds) {
    List<FaultKind> choice = List.copyOf(new TreeSet<>(kinds));
    List<FaultStep> faults = new ArrayList<>();
    int count = choice.isEmpty() ? 0 : 2 + random.nextInt(8);
    for (int i = 0; i < count; i++) {
      long at = random.nextLong(ACTIVE_TIME.toMillis());
      if (i % 2 == 1) {
        FaultStep previous = faults.getLast();
        at = previous.at().toMillis() + random.nextLong(previous.duration().toMillis() + 1);
      }
      faults.add(
          new FaultStep(
              Duration.ofMillis(at),
              choice.get(random.nextInt(choice.size())),
              Duration.ofMillis(random.nextInt(MAX_FAULT_MILLIS)),
              random.nextInt(1 << 20)));
    }
    return faults;
  }

  FaultPlan withCalls(List<CallStep> fewer) {
    return new FaultPlan(seed, deployment, budget, fewer, faults);
  }

  FaultPlan withFaults(List<FaultStep> fewer) {
    return new FaultPlan(seed, deployment, budget, calls, fewer);
  }
}
