package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.ledger.state.AccountView;

class BudgetTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);

  private static FakeCall draft(FakeInstance instance) {
    return instance.callModel("mill", "drafts", Optional.empty(), TIMEOUT);
  }

  private static void untilEnded(FakeFleet fleet, List<FakeCall> calls) {
    boolean ended =
        fleet
            .simulation()
            .runUntil(() -> calls.stream().allMatch(FakeCall::ended), Duration.ofSeconds(60));
    assertTrue(ended, calls::toString);
  }

  private static FakeCall ended(FakeFleet fleet, FakeCall call) {
    untilEnded(fleet, List.of(call));
    return call;
  }

  /**
   * Guards against an error that tells the caller to try again in vain. The budget holds 90 tokens
   * and a request may use 100, so the ledger shows that the budget can't cover it.
   */
  @Test
  void anInsufficientBudgetIsReportedAsExhausted() {
    FakeFleet fleet = FakeFleet.withBudget(1, 90);
    FakeInstance instance = fleet.startReady("r1").getFirst();
    FakeCall call = ended(fleet, draft(instance));
    assertEquals(Optional.of(ErrorKind.BUDGET_EXHAUSTED), call.error());
    assertEquals(0, fleet.runCount());
  }

  /**
   * Guards against reporting an exhausted budget while tokens are leased elsewhere. One instance
   * holds the rest of the budget as its lease and is suspended, so it returns nothing. The caller
   * of the other instance is told to try again.
   */
  @Test
  void tokensLeasedElsewhereCauseARetryableRefusal() {
    FakeFleet fleet = FakeFleet.withBudget(1, 180);
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    ended(fleet, draft(pair.getFirst()));
    ended(fleet, draft(pair.getLast()));
    FakeInstance emptyInstance = instanceWithoutTokens(pair);
    pair.stream().filter(other -> other != emptyInstance).forEach(FakeInstance::suspend);
    fleet.simulation().run(Duration.ofSeconds(5));
    FakeCall call = ended(fleet, draft(emptyInstance));
    assertEquals(Optional.of(ErrorKind.NO_LEASE), call.error());
    assertTrue(call.problem().orElseThrow().retryAfter().isPresent());
    assertEquals(2, fleet.runCount());
  }

  private static FakeInstance instanceWithoutTokens(List<FakeInstance> instances) {
    return instances.stream()
        .filter(i -> i.core().dump().budgets().stream().allMatch(b -> b.idle() < 100))
        .findFirst()
        .orElseThrow();
  }

  /**
   * Guards against overspending when two instances compete for one budget, each with more callers
   * than it covers. Each charge must belong to one complete answer.
   */
  @Test
  void twoCompetingInstancesNeverOverspend() {
    for (long seed = 1; seed <= 20; seed++) {
      FakeFleet fleet = FakeFleet.withBudget(seed, 1_000);
      List<FakeInstance> pair = fleet.startReady("r1", "r2");
      List<FakeCall> calls = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        calls.add(draft(pair.get(i % 2)));
        fleet.simulation().run(Duration.ofMillis(7));
      }
      untilEnded(fleet, calls);
      fleet.simulation().run(Duration.ofSeconds(2));
      long complete = calls.stream().filter(call -> call.isComplete(5)).count();
      AccountView budget = fleet.budget();
      assertEquals(25 * complete, budget.charged());
      assertTrue(budget.charged() <= 1_000, budget::toString);
      assertTrue(complete >= 30, "complete answers: " + complete);
      assertEquals(Optional.empty(), fleet.ledger().findImbalance());
      calls.stream()
          .filter(call -> !call.isComplete(5))
          .forEach(call -> assertTrue(call.problem().isPresent(), call::toString));
    }
  }

  /**
   * Guards against refusals while the log is down and one instance has no tokens but its peer has
   * idle ones. The instance draws tokens from the peer without a record on the log.
   */
  @Test
  void anInstanceWithoutTokensDrawsFromItsPeerWhileTheLogIsDown() {
    FakeFleet fleet = FakeFleet.withBudget(3, 100_000);
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    ended(fleet, draft(pair.getFirst()));
    FakeInstance emptyInstance = instanceWithoutTokens(pair);
    fleet.log().down = true;
    fleet.simulation().run(Duration.ofSeconds(5));
    FakeCall call = ended(fleet, draft(emptyInstance));
    assertTrue(call.isComplete(5), call::toString);
    fleet.log().down = false;
    fleet.simulation().run(Duration.ofSeconds(20));
    assertEquals(50, fleet.budget().charged());
    assertEquals(Optional.empty(), fleet.ledger().findImbalance());
  }

  /**
   * Guards against a pointless wait. With the log down and no peer, no tokens can arrive before any
   * deadline, so the caller is refused at once.
   */
  @Test
  void withTheLogDownAndNoPeerACallerIsRefusedAtOnce() {
    FakeFleet fleet = FakeFleet.withBudget(1, 100_000);
    FakeInstance instance = fleet.startReady("r1").getFirst();
    fleet.log().down = true;
    fleet.simulation().run(Duration.ofSeconds(6));
    FakeCall call = draft(instance);
    fleet.simulation().run(Duration.ofMillis(50));
    assertEquals(Optional.of(ErrorKind.NO_LEASE), call.error());
  }

  /**
   * Guards against double leases and charges when every response of the log is lost after the write
   * took effect. Outcomes are read back, and repeated entries are dropped.
   */
  @Test
  void lostLogResponsesChargeOnce() {
    FakeFleet fleet = FakeFleet.withBudget(5, 100_000);
    FakeInstance instance = fleet.startReady("r1").getFirst();
    fleet.log().losesResponses = true;
    List<FakeCall> calls = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      calls.add(draft(instance));
      fleet.simulation().run(Duration.ofMillis(40));
    }
    untilEnded(fleet, calls);
    fleet.simulation().run(Duration.ofSeconds(5));
    calls.forEach(call -> assertTrue(call.isComplete(5), call::toString));
    assertEquals(250, fleet.budget().charged());
    assertEquals(Optional.empty(), fleet.ledger().findImbalance());
  }

  /** Guards against leases that are never returned when callers stop arriving. */
  @Test
  void idleTokensAreReturned() {
    FakeFleet fleet = FakeFleet.withBudget(1, 100_000);
    FakeInstance instance = fleet.startReady("r1").getFirst();
    ended(fleet, draft(instance));
    assertTrue(fleet.budget().leased() > 0);
    fleet.simulation().run(Duration.ofSeconds(40));
    assertEquals(0, fleet.budget().leased());
    assertEquals(100_000 - 25, fleet.budget().remaining());
  }

  /**
   * Guards against duplicated tokens when messages between instances are lost at random, including
   * replies to token draws. Tokens may be stranded for a while, but no more may be spent and
   * returned than was granted.
   */
  @Test
  void lostTransfersNeverDuplicateTokens() {
    FakeFleet fleet = FakeFleet.withBudget(9, 2_000);
    List<FakeInstance> instances = fleet.startReady("r1", "r2", "r3");
    List<FakeCall> calls = new ArrayList<>();
    for (int i = 0; i < 90; i++) {
      fleet.losesPeerMessages = i % 3 == 0;
      calls.add(draft(instances.get(i % 3)));
      fleet.simulation().run(Duration.ofMillis(25));
    }
    fleet.losesPeerMessages = false;
    untilEnded(fleet, calls);
    fleet.simulation().run(Duration.ofSeconds(60));
    long complete = calls.stream().filter(call -> call.isComplete(5)).count();
    assertEquals(25 * complete, fleet.budget().charged());
    assertEquals(0, fleet.budget().leased());
    assertEquals(Optional.empty(), fleet.ledger().findImbalance());
  }

  /**
   * Guards against refusals near the end of a budget, when the remaining tokens lie idle in the
   * leases of other services. The next caller must wait until those tokens are back at the ledger
   * and then be served.
   */
  @Test
  void idleTokensOfOtherServicesServeACallerNearTheEndOfABudget() {
    FakeFleet fleet = FakeFleet.withBudget(1, 200);
    FakeInstance instance = fleet.startReady("r1", "r2").getFirst();
    ended(fleet, draft(instance));
    ended(fleet, instance.callPlain("mill", "rates", Optional.empty(), TIMEOUT, "-"));
    FakeCall hold = instance.callModel("mill", "holds", Optional.of("lot-1"), TIMEOUT);
    ended(fleet, hold);
    assertTrue(hold.isComplete(5), hold::toString);
  }

  /**
   * Guards against many small leases when many callers arrive at once for a service without a
   * lease. One lease covers them all. A lease for the smallest request at a time would admit them
   * one by one, each after another log entry.
   */
  @Test
  void oneLeaseCoversABurstForAServiceWithoutALease() {
    FakeFleet fleet = FakeFleet.withBudget(1, 1_000_000);
    FakeInstance instance = fleet.startReady("r1").getFirst();
    List<FakeCall> calls = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      calls.add(draft(instance));
    }
    fleet.simulation().run(Duration.ofMillis(300));
    assertEquals(0, instance.core().dump().budgets().getFirst().waiting());
  }
}
