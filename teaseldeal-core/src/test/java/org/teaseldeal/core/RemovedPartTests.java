package org.teaseldeal.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.core.fake.FakeCall;
import org.teaseldeal.core.fake.FakeFleet;
import org.teaseldeal.core.fake.FakeInstance;
import org.teaseldeal.core.fake.FakeServer;
import org.teaseldeal.core.part.FrameFilter;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.ledger.outcome.Outcome;

/** Replaces one policy at a time with a weaker one and shows which fault it prevents. */
class RemovedPartTests {
  private static final Duration TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_SEEDS = 40;

  private final FakeFleet fleet = FakeFleet.withBudget(1, 100_000);

  private static FakeCall draft(FakeInstance instance) {
    return instance.callModel("mill", "drafts", Optional.empty(), TIMEOUT);
  }

  private void ended(FakeCall call) {
    boolean ended = fleet.simulation().runUntil(call::ended, Duration.ofSeconds(60));
    assertTrue(ended, call::toString);
  }

  /** Returns the first violation that the checks report over the seeds. */
  private static String firstViolation(UnaryOperator<InstancePolicies> change) {
    for (long seed = 1; seed <= MAX_SEEDS; seed++) {
      RandomFaults faultRun = new RandomFaults(seed, change);
      faultRun.run();
      try {
        faultRun.check();
      } catch (AssertionError e) {
        return String.valueOf(e.getMessage());
      }
    }
    return "no violation";
  }

  /** Shows that a late frame of another answer reaches the caller if frames aren't filtered. */
  @Test
  void withoutTheFrameFilterAnAnswerIsMixed() {
    fleet.changePolicies(
        policies -> policies.withFrameFilter((expected, position) -> FrameFilter.Verdict.NEXT));
    FakeInstance instance = fleet.startReady("r1").getFirst();
    FakeCall call = draft(instance);
    fleet.simulation().runUntil(() -> call.frames().size() >= 2, Duration.ofSeconds(5));
    byte[] other = FakeServer.frame(new RequestId("another"), 0);
    AttemptId currentAttempt = new AttemptId(instance.incarnation(), 1);
    instance.deliver(new InstanceEvent.FrameReceived(currentAttempt, 0, other));
    fleet.simulation().run(Duration.ofSeconds(2));
    assertFalse(call.isComplete(5), call::toString);
  }

  /** Shows that both instances run a bid if they don't read their claims back. */
  @Test
  void withoutReadingClaimsBackABidRunsTwice() {
    fleet.changePolicies(
        policies ->
            policies.withClaimConfirmation(
                (claim, ledger, then) -> {
                  ledger.submit(claim, outcome -> {});
                  then.accept(new Outcome.ClaimWon(claim.key()));
                }));
    List<FakeInstance> pair = fleet.startReady("r1", "r2");
    for (FakeInstance instance : pair) {
      instance.callPlain("mill", "bids", Optional.of("lot-4"), TIMEOUT, "12 leva");
    }
    fleet.simulation().run(Duration.ofSeconds(2));
    assertEquals(2, fleet.runCount());
  }

  @Test
  void withoutReadingClaimsBackTheChecksReportASecondRun() {
    String violation =
        firstViolation(
            policies ->
                policies.withClaimConfirmation(
                    (claim, ledger, then) -> {
                      ledger.submit(claim, outcome -> {});
                      then.accept(new Outcome.ClaimWon(claim.key()));
                    }));
    assertTrue(violation.contains("expected: <1>"), violation);
  }

  /** Shows that a leaving server is given work again if a stale list may bring it back. */
  @Test
  void withoutTheLeavingServerRuleAStaleListReactivatesThem() {
    fleet.changePolicies(
        policies -> policies.withLeavingServerRule((known, listed) -> known.retainAll(listed)));
    FakeInstance instance = fleet.startReady("r1").getFirst();
    fleet.serverOf("engine-a").leaving = true;
    fleet.simulation().run(Duration.ofSeconds(1));
    fleet.serverOf("engine-a").leaving = false;
    fleet.simulation().run(Duration.ofSeconds(1));
    for (int i = 0; i < 10; i++) {
      ended(draft(instance));
    }
    assertTrue(fleet.serverOf("engine-a").runCount() > 0);
  }

  /**
   * Shows that concurrent callers overspend the budget if only one token is reserved per request.
   */
  @Test
  void withoutWorstCaseReservationsTheChecksReportOverspending() {
    String violation =
        firstViolation(policies -> policies.withReservationRule((payload, service, cap) -> 1));
    assertTrue(violation.contains("spent"), violation);
  }

  /**
   * Shows that tokens go unaccounted for if the reservation of an abandoned run is released at
   * once. A stream is abandoned at its deadline, its tokens return to the budget, and the ledger
   * never records what the engine used.
   */
  @Test
  void withoutTheAbandonedRunRuleTokensAreUnaccounted() {
    assertTrue(unaccountedAfterADeadline(policies -> policies) <= 0);
    assertTrue(
        unaccountedAfterADeadline(policies -> policies.withAbandonedRunRule(() -> false)) > 0);
  }

  /**
   * Returns how many tokens the engines used that the ledger shows neither as charged nor as
   * written off.
   */
  private static long unaccountedAfterADeadline(UnaryOperator<InstancePolicies> change) {
    FakeFleet fleetWithSlowEngines = FakeFleet.withBudget(3, 100_000);
    fleetWithSlowEngines.changePolicies(change);
    FakeInstance instance = fleetWithSlowEngines.startReady("r1").getFirst();
    fleetWithSlowEngines.serverOf("engine-a").frameInterval = Duration.ofMillis(400);
    fleetWithSlowEngines.serverOf("engine-b").frameInterval = Duration.ofMillis(400);
    FakeCall call = instance.callModel("mill", "drafts", Optional.empty(), Duration.ofSeconds(1));
    fleetWithSlowEngines.simulation().runUntil(call::ended, Duration.ofSeconds(5));
    fleetWithSlowEngines.simulation().run(Duration.ofSeconds(60));
    assertEquals(0, fleetWithSlowEngines.budget().leased());
    return fleetWithSlowEngines.tokensSpent()
        - fleetWithSlowEngines.budget().charged()
        - fleetWithSlowEngines.budget().writtenOff();
  }

  @Test
  void withoutTheRerunRuleTheChecksReportASecondRun() {
    String violation = firstViolation(policies -> policies.withRerunRule(service -> true));
    assertTrue(violation.contains("expected: <1>"), violation);
  }

  /**
   * Shows that tokens are duplicated if repeated replies are credited. Peer messages take so long
   * that a draw is requested twice and answered twice. The two instances then hold more tokens than
   * the ledger has leased.
   */
  @Test
  void withoutTransferDeduplicationARepeatedReplyIsCreditedTwice() {
    assertTrue(excessTokensAfterARepeatedReply(policies -> policies) <= 0);
    assertTrue(
        excessTokensAfterARepeatedReply(
                policies ->
                    policies.withTransferDeduplication(
                        (transfers, number) -> transfers.get(number)))
            > 0);
  }

  /** Returns how many more tokens the two instances hold than the ledger has leased. */
  private static long excessTokensAfterARepeatedReply(UnaryOperator<InstancePolicies> change) {
    FakeFleet fleetWithSlowPeers = FakeFleet.withBudget(3, 100_000);
    fleetWithSlowPeers.changePolicies(change);
    List<FakeInstance> pair = fleetWithSlowPeers.startReady("r1", "r2");
    FakeCall first = draft(pair.getFirst());
    fleetWithSlowPeers.simulation().runUntil(first::ended, Duration.ofSeconds(10));
    fleetWithSlowPeers.simulation().run(Duration.ofSeconds(1));
    fleetWithSlowPeers.log().down = true;
    fleetWithSlowPeers.simulation().run(Duration.ofSeconds(5));
    fleetWithSlowPeers.peerDelay = Duration.ofMillis(400);
    FakeInstance emptyInstance =
        pair.stream()
            .filter(i -> i.core().dump().budgets().stream().allMatch(b -> b.idle() < 100))
            .findFirst()
            .orElseThrow();
    draft(emptyInstance);
    fleetWithSlowPeers.simulation().run(Duration.ofSeconds(5));
    long held =
        pair.stream()
            .flatMap(instance -> instance.core().dump().budgets().stream())
            .mapToLong(budget -> budget.idle() + budget.reserved())
            .sum();
    return held - fleetWithSlowPeers.budget().leased();
  }

  /** Shows that a request which crashes engines is tried until no engine is left. */
  @Test
  void withoutQuarantineARequestCrashesEveryEngine() {
    fleet.changePolicies(policies -> policies.withQuarantineRule(suspect -> false));
    FakeInstance instance = fleet.startReady("r1").getFirst();
    for (String engine : List.of("engine-a", "engine-b")) {
      fleet.serverOf(engine).crashPrompt = "prompt of -";
    }
    FakeServer third = fleet.addServer("engine-c", "engines");
    third.crashPrompt = "prompt of -";
    fleet.simulation().run(Duration.ofSeconds(1));
    for (int i = 0; i < 3; i++) {
      ended(draft(instance));
    }
    assertTrue(third.down && fleet.serverOf("engine-a").down && fleet.serverOf("engine-b").down);
  }
}
