package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Instant;
import java.util.Set;
import org.junit.jupiter.api.Test;

class QuarantineTrialsTests {
  private static final String PART = "bad0";
  private static final Instant CRASHED_AT = Instant.parse("2026-01-01T00:00:00Z");
  private static final Set<String> ONLY_INSTANCE = Set.of("a");

  private final QuarantineTrials trials = new QuarantineTrials();

  /** Guards against a part that stays refused although it caused none of the crashes. */
  @Test
  void triesAPartSomeTimeAfterItsLastCrash() {
    assertFalse(take(3, 19));
    assertTrue(take(3, 20));
    assertFalse(take(3, 21));
  }

  /** Guards against servers that go on crashing, a few with each trial. */
  @Test
  void allowsTwoTrialsForGood() {
    long taken = 0;
    for (int second = 0; second < 100_000; second++) {
      taken += take(3, second) ? 1 : 0;
    }
    assertEquals(2, taken);
  }

  /** Guards against more trials than that by several instances, or after a restart. */
  @Test
  void countsTheCrashesOfEarlierTrials() {
    assertFalse(take(4, 119));
    assertTrue(take(4, 120));
    assertFalse(take(5, 100_000));
  }

  /** Guards against trials of all instances at the same time. */
  @Test
  void leavesEachPartToOneInstance() {
    Set<String> instances = Set.of("a", "b", "c");
    long taken =
        instances.stream()
            .filter(
                instance ->
                    new QuarantineTrials()
                        .take(PART, 3, CRASHED_AT, instance, instances, CRASHED_AT.plusSeconds(20)))
            .count();
    assertEquals(1, taken);
  }

  /** Guards against many requests that arrive before one of them decides. */
  @Test
  void letsFewInstancesTestAPart() {
    Set<String> instances = Set.of("a", "b", "c", "d", "e");
    long testing =
        instances.stream().filter(each -> QuarantineTrials.tests(PART, each, instances)).count();
    assertEquals(2, testing);
    assertTrue(QuarantineTrials.tests(PART, "a", ONLY_INSTANCE));
  }

  private boolean take(int crashes, long secondsAfterCrash) {
    return trials.take(
        PART, crashes, CRASHED_AT, "a", ONLY_INSTANCE, CRASHED_AT.plusSeconds(secondsAfterCrash));
  }
}
