package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class DrainAdmissionTests {
  private static final Instant BEGAN = Instant.EPOCH;
  private final DrainAdmission admission = new DrainAdmission(BEGAN, BEGAN.plusSeconds(7));

  @Test
  void takesEverythingUntilTheBalancerHasNoticed() {
    assertTrue(admits(Duration.ofMillis(2_500), Duration.ofSeconds(15)));
  }

  /**
   * A caller gets its whole answer from another instance. The balancer still sends it to one that
   * was told to stop five seconds ago and will be killed in two; its stream may last fifteen. It is
   * refused as not run, in place of a stream that breaks off.
   */
  @Test
  void refusesLateWhatMayOutlastTheInstance() {
    assertFalse(admits(Duration.ofMillis(4_800), Duration.ofSeconds(15)));
    assertFalse(admits(Duration.ofMillis(6_500), Duration.ofSeconds(1)));
  }

  @Test
  void takesLateWhatEndsInTime() {
    assertTrue(admits(Duration.ofMillis(4_800), Duration.ofSeconds(1)));
  }

  /**
   * A caller's stream breaks off after it has run for four seconds. The balancer didn't know of the
   * stop yet, so it was taken, though streams of its route have taken five seconds lately and four
   * and a half were left.
   */
  @Test
  void refusesEarlyWhatUsuallyOutlastsTheInstance() {
    assertFalse(admits(Duration.ofMillis(2_500), Duration.ofSeconds(15), Duration.ofSeconds(5)));
    assertTrue(admits(Duration.ofMillis(1_500), Duration.ofSeconds(15), Duration.ofSeconds(5)));
  }

  /** Told to stop with a second to go, half of it is kept for what was taken before. */
  @Test
  void takesNothingLongToTheEndOfAShortGrace() {
    DrainAdmission hasty = new DrainAdmission(BEGAN, BEGAN.plusSeconds(1));
    Instant read = BEGAN.plusMillis(600);
    assertFalse(hasty.admits(read, read.plusSeconds(15), Duration.ZERO));
    assertTrue(hasty.admits(read, read.plusMillis(300), Duration.ZERO));
  }

  /** What would be sent in the last moment is cut off or late; it is refused instead. */
  @Test
  void takesNothingInTheLastMoment() {
    assertFalse(admits(Duration.ofMillis(6_800), Duration.ofMillis(100)));
  }

  private boolean admits(Duration after, Duration patience) {
    return admits(after, patience, Duration.ZERO);
  }

  private boolean admits(Duration after, Duration patience, Duration usual) {
    Instant read = BEGAN.plus(after);
    return admission.admits(read, read.plus(patience), usual);
  }
}
