package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.core.fake.FakeServer;
import org.teaseldeal.core.part.InstancePolicies;

/** Checks orders to engines under several random faults at once. */
class OrderFaultTests {
  private static final int SEEDS = 40;
  private static final int STEPS = 30;

  /**
   * Covers reconnecting to the log, taking a term if necessary, and querying and ordering each
   * engine.
   */
  private static final Duration CONVERGENCE_TIMEOUT = Duration.ofSeconds(20);

  /** One run with a seed, in which the engines either check fencing tokens or ignore them. */
  private static final class Run {
    private final long seed;
    private final FakeFleet fleet;
    private final RandomGenerator random;
    private final List<FakeInstance> instances;
    private final List<FakeServer> engines;
    private int version = 1;

    private Run(long seed, boolean checksFencing, UnaryOperator<InstancePolicies> change) {
      this.seed = seed;
      fleet = FakeFleet.withBudget(seed, 100_000);
      fleet.changePolicies(change);
      random = fleet.simulation().random();
      instances = fleet.startReady("r1", "r2", "r3");
      engines = List.of(fleet.serverOf("engine-a"), fleet.serverOf("engine-b"));
      engines.forEach(engine -> engine.checksFencing = checksFencing);
    }

    private void runWithFaults() {
      fleet.publishModels(desiredModels());
      for (int i = 0; i < STEPS; i++) {
        fleet.simulation().run(Duration.ofMillis(200 + random.nextInt(4000)));
        injectFault();
      }
      endFaults();
    }

    private Map<String, String> desiredModels() {
      return Map.of("clerk", Integer.toString(version));
    }

    private void injectFault() {
      FakeInstance one = instances.get(random.nextInt(instances.size()));
      FakeInstance other = instances.get(random.nextInt(instances.size()));
      switch (random.nextInt(8)) {
        case 0 -> one.suspend();
        case 1 -> one.suspendsBeforeOrder = true;
        case 2, 3 -> one.resume();
        case 4 -> fleet.log().down = !fleet.log().down;
        case 5 -> fleet.cut(one, other, random.nextBoolean());
        case 6 -> one.cutOffFromLog = random.nextBoolean();
        default -> {
          version++;
          fleet.publishModels(desiredModels());
          engines.getFirst().losesOrderResponses = random.nextBoolean();
        }
      }
    }

    private void endFaults() {
      fleet.log().down = false;
      engines.forEach(engine -> engine.losesOrderResponses = false);
      for (FakeInstance instance : instances) {
        instance.suspendsBeforeOrder = false;
        instance.cutOffFromLog = false;
        instance.resume();
        instances.forEach(other -> fleet.cut(instance, other, false));
      }
    }

    private boolean enginesMatch() {
      return engines.stream()
          .allMatch(engine -> engine.orderState().models().equals(desiredModels()));
    }

    private boolean enginesConverge() {
      boolean converged = fleet.simulation().runUntil(this::enginesMatch, CONVERGENCE_TIMEOUT);
      fleet.simulation().run(CONVERGENCE_TIMEOUT);
      return converged && enginesMatch();
    }

    /** Returns the number of terms under which more than one instance sent orders. */
    private long sharedTerms() {
      Map<Long, Set<IncarnationId>> senders = new TreeMap<>();
      for (FakeServer engine : engines) {
        for (FakeServer.ReceivedOrder order : engine.orders()) {
          senders.computeIfAbsent(order.fencing(), f -> new TreeSet<>()).add(order.sender());
        }
      }
      return senders.values().stream().filter(instances -> instances.size() > 1).count();
    }

    private boolean sawLateOrder() {
      return engines.stream()
          .anyMatch(
              engine -> {
                long highest = 0;
                for (FakeServer.ReceivedOrder order : engine.orders()) {
                  if (order.fencing() < highest) {
                    return true;
                  }
                  highest = Math.max(highest, order.fencing());
                }
                return false;
              });
    }

    @Override
    public String toString() {
      return "seed %d, desired models %s, engines %s %s"
          .formatted(
              seed, desiredModels(), engines.get(0).orderState(), engines.get(1).orderState());
    }
  }

  /**
   * Guards against orders from two instances under one term, and against engines that don't end up
   * with the settings in force. Instances are suspended, also between a decision and its order, and
   * cut off from each other and from the log, while the log goes down, answers are lost and
   * settings change.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void onlyTheTermHolderSendsOrdersAndEnginesConverge(boolean checksFencing) {
    int runsWithLateOrder = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Run run = new Run(seed, checksFencing, policies -> policies);
      run.runWithFaults();
      assertTrue(run.enginesConverge(), run::toString);
      assertEquals(0, run.sharedTerms(), run::toString);
      runsWithLateOrder += run.sawLateOrder() ? 1 : 0;
    }
    assertTrue(runsWithLateOrder > 0, "no run had a late order, so no correction was tested");
  }

  @Test
  void withoutTheTermTheCheckReportsSharedTerms() {
    Run run =
        new Run(1, false, policies -> policies.withOrderAuthority((holder, inContact) -> true));
    run.runWithFaults();
    assertTrue(run.sharedTerms() > 0);
  }

  @Test
  void withoutRepeatedQueriesTheCheckReportsThatEnginesDoNotConverge() {
    long notConverged = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Run run =
          new Run(seed, false, policies -> policies.withEngineRecheckRule(matched -> !matched));
      run.runWithFaults();
      notConverged += run.enginesConverge() ? 0 : 1;
    }
    assertTrue(notConverged > 0);
  }
}
