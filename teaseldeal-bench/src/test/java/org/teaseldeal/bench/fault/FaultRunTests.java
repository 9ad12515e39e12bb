package org.teaseldeal.bench.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.teaseldeal.core.part.InstancePolicies;
import org.teaseldeal.ledger.outcome.Outcome;

class FaultRunTests {
  private static final Set<FaultKind> ALL = EnumSet.allOf(FaultKind.class);
  private static final Set<FaultKind> CRASHES = EnumSet.of(FaultKind.SERVER_CRASH);
  private static final int SEEDS = 48;

  private static History historyOf(long seed, Deployment deployment) {
    FaultPlan plan = FaultPlan.draw(seed, deployment, ALL);
    return FaultRun.execute(plan, UnaryOperator.identity()).history();
  }

  private static List<String> violations(UnaryOperator<InstancePolicies> change) {
    return violations(ALL, SEEDS, change);
  }

  private static List<String> violations(
      Set<FaultKind> kinds, long seeds, UnaryOperator<InstancePolicies> change) {
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(seed -> FaultPlan.draw(seed, Deployment.AARHUS, kinds))
        .map(plan -> Promise.allViolations(FaultRun.execute(plan, change).history()))
        .flatMap(List::stream)
        .toList();
  }

  private static void assertReports(List<String> violations, Promise promise) {
    assertTrue(
        violations.stream().anyMatch(each -> each.startsWith(promise.label())),
        () -> "expected a report of %s among %s".formatted(promise.label(), violations));
  }

  @Test
  void repeatsTheSameHistoryForTheSameSeed() {
    String once = historyOf(5, Deployment.ASSOCIATION).toLines();
    assertEquals(once, historyOf(5, Deployment.ASSOCIATION).toLines());
  }

  /**
   * Guards all promises, as callers, operators and servers observe them, under overlapping faults:
   * instances are killed, suspended, partitioned and retired while the log is down, slow or loses
   * answers and while backend servers fail.
   */
  @Test
  void keepsEveryPromiseUnderFaultsInBothDeployments() {
    for (Deployment deployment : Deployment.values()) {
      LongStream.rangeClosed(1, SEEDS)
          .parallel()
          .forEach(
              seed ->
                  assertEquals(
                      List.of(),
                      Promise.allViolations(historyOf(seed, deployment)),
                      deployment + " seed " + seed));
    }
  }

  /**
   * Checks that the simulation detects a missing read-back of claims: two instances that race for
   * the same bid then both consider their claim won and both send the bid.
   */
  @Test
  void reportsASecondRunIfClaimsAreNotReadBack() {
    assertReports(
        violations(
            policies ->
                policies.withClaimConfirmation(
                    (claim, ledger, then) -> {
                      ledger.submit(claim, outcome -> {});
                      then.accept(new Outcome.ClaimWon(claim.key()));
                    })),
        Promise.AT_MOST_ONCE);
  }

  /**
   * Checks that the simulation detects reservations that are too small: with one token reserved for
   * each request, concurrent requests use more tokens than were granted.
   */
  @Test
  void reportsOverspendIfLessThanTheWorstCaseIsReserved() {
    assertReports(
        violations(policies -> policies.withReservationRule((payload, service, cap) -> 1)),
        Promise.NO_OVERSPEND);
  }

  /**
   * Checks that the simulation detects retries of non-idempotent requests: a server crashes with
   * the request in flight, and the instance retries it at another server.
   */
  @Test
  void reportsASecondRunIfNonIdempotentRequestsAreRetried() {
    assertReports(
        violations(CRASHES, 4 * SEEDS, policies -> policies.withRerunRule(service -> true)),
        Promise.AT_MOST_ONCE);
    assertEquals(List.of(), violations(CRASHES, 4 * SEEDS, UnaryOperator.identity()));
  }
}
