package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.PlainPlacement.Candidate;
import org.teaseldeal.decisions.PlainPlacement.Fleet;
import org.teaseldeal.decisions.PlainServiceSimulation.Rule;

class PlainPlacementTests {
  private static final Instant START = Instant.EPOCH.plusSeconds(1000);
  private static final Fleet FRESH = new Fleet(Duration.ofMillis(10), 2);
  private static final BackendServerId A = new BackendServerId("a");
  private static final BackendServerId B = new BackendServerId("b");

  private final PlainPlacement placement = new PlainPlacement(new Random(1));

  private static Candidate server(BackendServerId id, int own, int others) {
    return new Candidate(id, 6, own, others, 1);
  }

  @Test
  void prefersTheServerWithMoreFreeSlots() {
    int chosenB = 0;
    for (int i = 0; i < 1000; i++) {
      Optional<BackendServerId> chosen =
          placement.choose(List.of(server(A, 4, 0), server(B, 0, 0)), FRESH, 0, START);
      chosenB += chosen.equals(Optional.of(B)) ? 1 : 0;
    }
    assertEquals(750, chosenB, 50);
  }

  @Test
  void choosesNoneOfNone() {
    assertEquals(Optional.empty(), placement.choose(List.of(), FRESH, 0, START));
  }

  /** A server that has just rejected a request would reject the next one too. */
  @Test
  void leavesOutAServerForAWhileAfterARejection() {
    List<Candidate> servers = List.of(server(A, 0, 0), server(B, 0, 0));
    placement.onRejected(A, START);
    for (int i = 0; i < 20; i++) {
      assertEquals(Optional.of(B), placement.choose(servers, FRESH, 0, START.plusMillis(50)));
    }
    placement.onRejected(B, START.plusMillis(50));
    assertEquals(Optional.empty(), placement.choose(servers, FRESH, 0, START.plusMillis(90)));
    assertEquals(Optional.of(A), placement.choose(servers, FRESH, 0, START.plusMillis(120)));
  }

  /** The load of callers of {@link PlainServiceSimulation}. */
  @Nested
  class UnderLoad {
    private static final Duration DAY = Duration.ofSeconds(20);
    private static final int SLOTS_OF_ALL = 18;

    private PlainServiceSimulation run(Rule rule, int workMillis, double usedSlots, long seed) {
      return new PlainServiceSimulation(rule, workMillis, 7L * workMillis, 50L * workMillis, seed)
          .run(DAY, usedSlots * SLOTS_OF_ALL * 1000 / workMillis);
    }

    /** All instances send to the one server that their last report shows as least loaded. */
    @ParameterizedTest
    @CsvSource({"21, 0.31", "64, 0.45"})
    void noServerRejectsRequestsWhileHalfOfTheSlotsAreFree(int workMillis, double usedSlots) {
      int rejectionsBefore = 0;
      for (long seed = 1; seed <= 3; seed++) {
        rejectionsBefore += run(Rule.SOONEST, workMillis, usedSlots, seed).rejections();
        PlainServiceSimulation after = run(Rule.PLAIN_PLACEMENT, workMillis, usedSlots, seed);
        assertEquals(0, after.rejections());
        assertEquals(0, after.missed());
      }
      assertTrue(rejectionsBefore > 0, "the load is too light to show anything");
    }

    /** A burst of 1.7 times the usual brings the servers near their limit. */
    @ParameterizedTest
    @ValueSource(ints = {21, 64})
    void fewRequestsAreRejectedInABurst(int workMillis) {
      for (long seed = 1; seed <= 3; seed++) {
        PlainServiceSimulation before = run(Rule.SOONEST, workMillis, 0.78, seed);
        PlainServiceSimulation after = run(Rule.PLAIN_PLACEMENT, workMillis, 0.78, seed);
        assertTrue(
            4 * after.rejections() < before.rejections(),
            () -> after.rejections() + " rejections, before " + before.rejections());
        assertTrue(
            2 * after.missed() < before.missed(),
            () -> after.missed() + " missed, before " + before.missed());
      }
    }

    /** More is asked for than the servers can run, by requests of two ranks alike. */
    @Test
    void urgentRequestsAreServedAtLeastAsOftenAsOthersInAnOverload() {
      for (long seed = 1; seed <= 3; seed++) {
        PlainServiceSimulation after = run(Rule.PLAIN_PLACEMENT, 64, 1.3, seed);
        assertTrue(after.rank(0).onTimeShare() >= after.rank(1).onTimeShare());
      }
    }
  }

  /** No instance hears of any other for eight seconds. */
  @Nested
  class WhileAllAreCutOff {
    private PlainServiceSimulation run(Rule rule, double usedSlots, long seed) {
      return new PlainServiceSimulation(rule, 64, 322, 1538, seed)
          .cutOff(Duration.ofSeconds(10), Duration.ofSeconds(18))
          .run(Duration.ofSeconds(20), usedSlots * 18 * 1000 / 64);
    }

    /** Instances that each think that all slots are free must not fill them together. */
    @Test
    void noServerRejectsRequestsWhileHalfOfTheSlotsAreFree() {
      for (long seed = 1; seed <= 3; seed++) {
        PlainServiceSimulation run = run(Rule.PLAIN_PLACEMENT, 0.45, seed);
        assertEquals(0, run.rejections());
        assertTrue(
            run.missed() <= run.sent() / 50, () -> run.missed() + " missed of " + run.sent());
      }
    }

    /** A share that each instance takes must not add up to more than the servers can run. */
    @Test
    void fewRequestsAreRejectedInAnOverload() {
      for (long seed = 1; seed <= 3; seed++) {
        PlainServiceSimulation before = run(Rule.SOONEST, 1.3, seed);
        PlainServiceSimulation after = run(Rule.PLAIN_PLACEMENT, 1.3, seed);
        assertTrue(
            2 * after.rejectionsWhileCutOff() < before.rejectionsWhileCutOff(),
            () ->
                after.rejectionsWhileCutOff()
                    + " rejections, before "
                    + before.rejectionsWhileCutOff());
      }
    }
  }
}
