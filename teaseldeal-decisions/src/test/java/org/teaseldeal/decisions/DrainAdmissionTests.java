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

  private boolean admits(Duration after, Duration patience) {
    Instant arrived = BEGAN.plus(after);
    return admission.admits(arrived, arrived.plus(patience));
  }
}
