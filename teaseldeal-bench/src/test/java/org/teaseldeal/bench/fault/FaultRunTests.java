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

  private static History play(long seed, Deployment deployment) {
    FaultPlan plan = FaultPlan.draw(seed, deployment, ALL);
    return FaultRun.play(plan, UnaryOperator.identity()).history();
  }

  private static List<String> violations(UnaryOperator<InstancePolicies> change) {
    return violations(ALL, SEEDS, change);
  }

  private static List<String> violations(
      Set<FaultKind> kinds, long seeds, UnaryOperator<InstancePolicies> change) {
    return LongStream.rangeClosed(1, seeds)
        .parallel()
        .mapToObj(seed -> FaultPlan.draw(seed, Deployment.AARHUS, kinds))
        .map(plan -> Promise.allViolations(FaultRun.play(plan, change).history()))
        .flatMap(List::stream)
        .toList();
  }

  private static void assertReports(List<String> violations, Promise promise) {
    assertTrue(
        violations.stream().anyMatch(each -> each.startsWith(promise.label())),
        () -> "expected a report of %s among %s".formatted(promise.label(), violations));
  }

  @Test
  void playsASeedTheSameToTheByte() {
    String once = play(5, Deployment.ASSOCIATION).toLines();
    assertEquals(once, play(5, Deployment.ASSOCIATION).toLines());
  }

  /**
   * Instances are killed, frozen, cut off and retired while the log is down, slow or loses answers
   * and servers fail, two at once. Callers, operators and servers see every promise kept.
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
                      Promise.allViolations(play(seed, deployment)),
                      deployment + " seed " + seed));
    }
  }

  /** Claims taken as won without the log: two instances that race both send the bid. */
  @Test
  void reportsASecondRunIfClaimsAreNotReadBack() {
    assertReports(
        violations(
            parts ->
                parts.withClaimConfirmation(
                    (claim, ledger, then) -> {
                      ledger.submit(claim, outcome -> {});
                      then.accept(new Outcome.ClaimWon(claim.key()));
                    })),
        Promise.AT_MOST_ONCE);
  }

  /** One token set aside for each request: callers at once use more than was granted. */
  @Test
  void reportsOverspendIfLessThanTheWorstCaseIsReserved() {
    assertReports(
        violations(parts -> parts.withReservationRule((payload, service, cap) -> 1)),
        Promise.NO_OVERSPEND);
  }

  /** Servers crash with requests in flight, and a non-idempotent one is tried again elsewhere. */
  @Test
  void reportsASecondRunIfAnythingMayBeRunAgain() {
    assertReports(
        violations(CRASHES, 4 * SEEDS, parts -> parts.withRerunRule(service -> true)),
        Promise.AT_MOST_ONCE);
    assertEquals(List.of(), violations(CRASHES, 4 * SEEDS, UnaryOperator.identity()));
  }
}
