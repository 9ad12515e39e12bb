package org.teaseldeal.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class IdleTokenReleaseTests {
  private static final double DEMAND = 10_000;
  private static final long LARGEST = 12_000;
  private static final long LEASE = 9 * 13_000 + 2 * LARGEST;

  /**
   * Guards against too many tokens being written off after all instances lost power. Of a total
   * that lasts for a minute, the tokens of twenty seconds are left, and the successors start 2.6 s
   * after the last notes. Fewer than 3 % of the total may be lost; with more, callers would be
   * refused requests that the total covers.
   */
  @Test
  void losesLessThanThreePercentOfATotal() {
    long total = (long) (60 * 7 * DEMAND);
    long immediate = IdleTokenRelease.immediate(DEMAND, 7 * DEMAND, total / 3);
    long writtenOff = 7 * (immediate + lease(immediate).released(Duration.ofMillis(2_600)));
    assertTrue(
        writtenOff * 100 < 3 * total,
        "%d of %d tokens were written off".formatted(writtenOff, total));
  }

  /**
   * Guards against refused callers during a partition of nine seconds while three quarters of a
   * total are left. In the first two seconds, and from 0.1 s after the beginning of the gradual
   * release, at least as many tokens must be released as callers need at an even rate.
   */
  @Test
  void coversTheDemandInAPartitionWhileMuchIsLeft() {
    long immediate = IdleTokenRelease.immediate(DEMAND, 7 * DEMAND, (long) (45 * 7 * DEMAND));
    for (int millis = 0; millis <= 9_000; millis += 100) {
      if (millis <= 2_000 || millis >= 2_700) {
        assertReleased(millis, immediate + lease(immediate).released(Duration.ofMillis(millis)));
      }
    }
  }

  /**
   * Guards against the same near the end of a total, once the release has caught up with the time
   * before its beginning.
   */
  @Test
  void coversTheDemandInAPartitionAfterCatchingUp() {
    for (int millis = 2_900; millis <= 9_000; millis += 100) {
      assertReleased(millis, lease(0).released(Duration.ofMillis(millis)));
    }
  }

  private static void assertReleased(int millis, long released) {
    long needed = (long) (DEMAND * millis / 1000);
    assertTrue(
        released >= needed,
        "%d were released after %d ms, expected at least %d".formatted(released, millis, needed));
  }

  /**
   * Guards against releasing more tokens for immediate use than the beginning of a partition needs.
   */
  @Test
  void limitsTheTokensForImmediateUse() {
    assertEquals(22_000, IdleTokenRelease.immediate(DEMAND, DEMAND, 100_000_000));
    assertEquals(0, IdleTokenRelease.immediate(0, 0, 100_000_000));
  }

  /**
   * Guards against a sudden release: a successor that starts 0.1 s after the beginning of the
   * release writes off at most half a second of the rate, not everything that the rate gives for
   * the time since the note.
   */
  @Test
  void releasesGradually() {
    long releasedPerSecond = 21_000;
    IdleTokenRelease release = new IdleTokenRelease(LEASE, releasedPerSecond);
    long before = 0;
    for (int millis = 0; millis < 6_000; millis += 100) {
      long released = release.released(Duration.ofMillis(millis));
      assertTrue(
          released - before <= releasedPerSecond / 2,
          "%d were released between %d and %d ms, expected at most %d"
              .formatted(released - before, millis - 100, millis, releasedPerSecond / 2));
      before = released;
    }
  }

  /**
   * Guards against a lease that is released entirely when an instance is killed during a partition.
   */
  @Test
  void leavesAPartForASuccessorAfterFourSeconds() {
    long released = lease(0).released(Duration.ofSeconds(4));
    assertTrue(
        released * 10 <= 7 * LEASE,
        "%d of %d were released after 4 s, expected at most seven tenths"
            .formatted(released, LEASE));
  }

  /**
   * Guards against a refused request, during a partition, of a customer that has sent nothing
   * recently.
   */
  @Test
  void releasesALeaseWithoutDemandAtAnEvenRate() {
    IdleTokenRelease release =
        new IdleTokenRelease(9_000, IdleTokenRelease.releasedPerSecond(9_000, 0, 0));
    assertEquals(0, release.released(Duration.ofMillis(2_600)));
    assertEquals(4_000, release.released(Duration.ofSeconds(4)));
    assertEquals(9_000, release.released(Duration.ofSeconds(6)));
  }

  private static IdleTokenRelease lease(long immediate) {
    return new IdleTokenRelease(
        LEASE - immediate, IdleTokenRelease.releasedPerSecond(LEASE, DEMAND, LARGEST));
  }

  @Property(seed = "7")
  void predictsWhenTokensAreReleased(
      @ForAll @IntRange(min = 1, max = 100_000) int delayed,
      @ForAll @IntRange(max = 50_000) int releasedPerSecond,
      @ForAll @IntRange(min = 1, max = 100) int percent,
      @ForAll @IntRange(max = 7_000) int since) {
    long tokens = Math.max(1, (long) delayed * percent / 100);
    Duration passed = Duration.ofMillis(since);
    IdleTokenRelease release = new IdleTokenRelease(delayed, releasedPerSecond);
    Duration wait = release.untilReleased(tokens, passed);
    long released = release.released(passed.plus(wait).plusMillis(1));
    assertTrue(
        released >= tokens,
        "%d of %d were released after %s, expected %d".formatted(released, delayed, wait, tokens));
  }
}
