package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.teaseldeal.decisions.DrainPhases.Left;
import org.teaseldeal.decisions.DrainPhases.Phase;
import org.teaseldeal.decisions.StoppingInstance.Request;

class DrainPhasesTests {
  private static final int SEEDS = 10_000;
  private static final Instant BEGAN = Instant.EPOCH;
  private static final Duration GRACE = Duration.ofSeconds(8);
  private static final Left NOTHING = new Left(0, true);

  private final DrainPhases phases = new DrainPhases(BEGAN, GRACE);

  @Test
  void takeEverythingUntilTheBalancerHasNoticed() {
    assertEquals(Phase.ACCEPTING, phases.next(BEGAN.plusMillis(2_599), NOTHING));
    assertEquals(Phase.SHORT_ONLY, phases.next(BEGAN.plusMillis(2_600), NOTHING));
  }

  /** The end is looked for only when nothing is taken any more, and not in the same step. */
  @Test
  void refuseBeforeTheyAskWhetherAnswersAreOutstanding() {
    Instant noticed = BEGAN.plusMillis(2_600);
    phases.next(noticed, NOTHING);
    assertEquals(Phase.REFUSING, phases.next(noticed, NOTHING));
    assertEquals(Phase.REFUSING, phases.next(noticed, new Left(1, true)));
    assertEquals(Phase.CLOSING, phases.next(noticed, NOTHING));
    assertEquals(Phase.CLOSING, phases.next(noticed, NOTHING), "no time for the last requests");
    assertEquals(Phase.LEAVING, phases.next(noticed.plusMillis(60), NOTHING));
    assertEquals(Phase.LEAVING, phases.next(noticed.plusMillis(60), new Left(1, true)));
    assertEquals(Phase.DONE, phases.next(noticed.plusMillis(60), NOTHING));
  }

  @Test
  void waitALittleForTokensToBeReturned() {
    Left held = new Left(0, false);
    Instant noticed = BEGAN.plusMillis(2_600);
    phases.next(noticed, held);
    phases.next(noticed, held);
    assertEquals(Phase.REFUSING, phases.next(noticed.plusMillis(799), held));
    assertEquals(Phase.CLOSING, phases.next(noticed.plusMillis(800), held));
  }

  @Test
  void leaveMostOfAShortGraceToCallers() {
    DrainPhases shortGrace = new DrainPhases(BEGAN, Duration.ofSeconds(1));
    assertEquals(BEGAN.plusMillis(750), shortGrace.admission().ends());
    assertEquals(Phase.SHORT_ONLY, shortGrace.next(BEGAN.plusMillis(375), NOTHING));
  }

  /**
   * Callers come on connections old and new until the process has ended, some with slow bodies and
   * some that wait for tokens that never come; servers take their time, and the process may be
   * frozen for a while. Each request that is read is answered or truly refused, and only a run that
   * began before the balancer knew, or stood while the process was frozen, is ever broken off.
   */
  @Test
  void cutOffNothingThatFitsOverManySeeds() {
    for (long seed = 0; seed < SEEDS; seed++) {
      StoppingInstance instance = new StoppingInstance(seed);
      instance.run();
      String label = "seed " + seed;
      assertEquals(List.of(), instance.unanswered(), label);
      assertEquals(List.of(), instance.takenAfterRefusing(), label);
      assertTrue(instance.endedBeforeKill(), label);
      for (Request request : instance.brokenOff()) {
        assertTrue(instance.hadNoTime(request), label + ": " + request);
      }
    }
  }

  @Test
  void meetAllKindsOfRequestsInTheSeeds() {
    boolean refusedWaiting = false;
    boolean brokenOff = false;
    boolean frozen = false;
    for (long seed = 0; seed < 200; seed++) {
      StoppingInstance instance = new StoppingInstance(seed);
      instance.run();
      refusedWaiting |= instance.refusedWaiting() > 0;
      brokenOff |= !instance.brokenOff().isEmpty();
      frozen |= instance.frozen();
    }
    assertTrue(refusedWaiting && brokenOff && frozen);
  }

  @Test
  void admitNothingWhereTheGraceIsOver() {
    DrainAdmission admission = phases.admission();
    Instant late = BEGAN.plus(GRACE);
    assertFalse(admission.admits(late, late.plusMillis(1), Duration.ZERO));
  }
}
