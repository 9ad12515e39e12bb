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
  void admitsEverythingUntilTheBalancerHasNoticed() {
    assertTrue(admits(Duration.ofMillis(2_500), Duration.ofSeconds(15)));
  }

  /**
   * Guards against aborted streams late in a shutdown. The balancer may send a request to an
   * instance that was told to stop almost five seconds ago and will be killed in two; the stream
   * may last fifteen seconds. The request has to be refused as not run.
   */
  @Test
  void laterRefusesRequestsThatMayOutlastTheInstance() {
    assertFalse(admits(Duration.ofMillis(4_800), Duration.ofSeconds(15)));
    assertFalse(admits(Duration.ofMillis(6_500), Duration.ofSeconds(1)));
  }

  @Test
  void laterAdmitsRequestsThatEndInTime() {
    assertTrue(admits(Duration.ofMillis(4_800), Duration.ofSeconds(1)));
  }

  /**
   * Guards against aborted streams early in a shutdown. The balancer has not noticed the shutdown
   * yet, but recent streams of the route took five seconds and only four and a half are left.
   */
  @Test
  void refusesRequestsThatUsuallyOutlastTheInstance() {
    assertFalse(admits(Duration.ofMillis(2_500), Duration.ofSeconds(15), Duration.ofSeconds(5)));
    assertTrue(admits(Duration.ofMillis(1_500), Duration.ofSeconds(15), Duration.ofSeconds(5)));
  }

  /** With a grace period of one second, half of it is reserved for requests accepted before. */
  @Test
  void admitsNothingLongInTheSecondHalfOfAShortGrace() {
    DrainAdmission shortGrace = new DrainAdmission(BEGAN, BEGAN.plusSeconds(1));
    Instant read = BEGAN.plusMillis(600);
    assertFalse(shortGrace.admits(read, read.plusSeconds(15), Duration.ZERO));
    assertTrue(shortGrace.admits(read, read.plusMillis(300), Duration.ZERO));
  }

  /** Guards against requests that are sent to a server so late that they are aborted or late. */
  @Test
  void admitsNothingShortlyBeforeTheEnd() {
    assertFalse(admits(Duration.ofMillis(6_800), Duration.ofMillis(100)));
  }

  private boolean admits(Duration after, Duration timeout) {
    return admits(after, timeout, Duration.ZERO);
  }

  private boolean admits(Duration after, Duration timeout, Duration usual) {
    Instant read = BEGAN.plus(after);
    return admission.admits(read, read.plus(timeout), usual);
  }
}
