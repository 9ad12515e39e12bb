package org.teaseldeal.decisions;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;

/**
 * Limits how many of its idle tokens an instance may use before a new note on the shared log says
 * so.
 *
 * <p>If all instances are killed or lose power at once and restart, the idle tokens that each held
 * can be reclaimed only as far as its successor knows that they were not used. Once more than 3 %
 * of a customer's total are lost, requests are refused for the rest of the day although the total
 * would cover them. Therefore only a small part of the remaining tokens may be used without a note.
 * Any other request is first announced in a note, which takes about ten milliseconds while the log
 * is available.
 *
 * <p>If all instances are partitioned from the log for seconds, no note can be written, and callers
 * have to be served nevertheless. Therefore the remaining tokens are released gradually, starting
 * at the time by which a successor process would have started on a machine that lost power for a
 * short time. The rate is somewhat above the demand, so a successor that starts later still
 * reclaims the tokens that were not yet released.
 *
 * @param delayed idle tokens that a note has not released for immediate use
 * @param releasedPerSecond number of those tokens that are released for each second since the note
 */
public record IdleTokenRelease(long delayed, long releasedPerSecond) {
  /**
   * Fraction of the unreserved tokens of a total that all instances together may use immediately.
   * While much is left, this lasts until the remaining tokens are released; of a customer's last
   * tokens, a loss of power costs an equally small fraction.
   */
  private static final double IMMEDIATE_FRACTION = 0.085;

  /**
   * Limit of the tokens for immediate use, in seconds of demand. More than is needed until the
   * remaining tokens are released would only increase the loss.
   */
  private static final double MAX_IMMEDIATE_SECONDS = 2.2;

  /**
   * Age of a note at which the release of the remaining tokens begins. The next process of a
   * machine that loses power for two seconds starts at most 2.4 s after the loss, and 0.2 s are
   * added for a wall clock that is being slewed. The note is up to 0.2 s old at that time, which
   * costs a little of the release. At the beginning of a network partition, callers whose tokens
   * can't be obtained from peers wait this long.
   */
  private static final Duration RELEASE_BEGINS_AFTER = Duration.ofMillis(2600);

  /**
   * Factor by which the release is faster than its normal rate until it has caught up with the time
   * before its beginning.
   *
   * <p>If the release began with all tokens that the rate gives for the time since the note, a
   * successor that starts 0.1 s after the beginning of the release would write off three seconds of
   * use, although its machine had no power for two of them. With a gradual increase, a successor
   * that starts a little late writes off few tokens.
   */
  private static final int CATCH_UP_FACTOR = 5;

  /**
   * Factor by which the release rate exceeds the demand. Requests arrive in bursts, and a third of
   * the released tokens is room for them.
   */
  private static final double RATE_OVER_DEMAND = 1.5;

  /**
   * Part of the release rate, in largest recent requests per second. It allows a request that is
   * larger than two seconds of demand when the release begins.
   */
  private static final double LARGEST_REQUESTS_PER_SECOND = 0.5;

  /**
   * Duration in seconds of the partition that leases are sized for (see {@link PrepaidLease}); a
   * constant rate empties the lease in this time.
   */
  private static final int PARTITION_SECONDS = 9;

  /**
   * Age of a note at which all tokens are released. By then the demand may have grown beyond what
   * the note says, and nearly all partitions have lasted more than half of their total duration.
   */
  private static final Duration ALL_RELEASED_AFTER = Duration.ofSeconds(6);

  public IdleTokenRelease {
    Preconditions.requireNotNegative(delayed, "delayed tokens");
    Preconditions.requireNotNegative(releasedPerSecond, "tokens released per second");
  }

  /**
   * Returns how many idle tokens a note releases for immediate use.
   *
   * @param tokensPerSecond rate at which this instance's requests reserve tokens
   * @param fleetTokensPerSecond the same rate of all instances together, including this one
   * @param unreserved tokens that are neither spent nor reserved, as far as known
   */
  public static long immediate(
      double tokensPerSecond, double fleetTokensPerSecond, long unreserved) {
    double share =
        fleetTokensPerSecond > 0 ? Math.min(1, tokensPerSecond / fleetTokensPerSecond) : 0;
    double maxByDemand = MAX_IMMEDIATE_SECONDS * tokensPerSecond;
    return (long) Math.min(maxByDemand, IMMEDIATE_FRACTION * unreserved * share);
  }

  /**
   * Returns the release rate for a note, in tokens per second.
   *
   * @param idle number of idle tokens
   * @param tokensPerSecond rate at which requests reserve tokens
   * @param largest size of the largest recent request
   */
  public static long releasedPerSecond(long idle, double tokensPerSecond, long largest) {
    double byDemand = RATE_OVER_DEMAND * tokensPerSecond + LARGEST_REQUESTS_PER_SECOND * largest;
    return Math.max((long) byDemand, idle / PARTITION_SECONDS);
  }

  /**
   * Returns how many of the delayed tokens are released when the note has the age {@code since}.
   */
  public long released(Duration since) {
    if (since.compareTo(RELEASE_BEGINS_AFTER) < 0) {
      return 0;
    }
    if (since.compareTo(ALL_RELEASED_AFTER) >= 0) {
      return delayed;
    }
    double seconds = since.toMillis() / 1000.0;
    double sinceBeginning = since.minus(RELEASE_BEGINS_AFTER).toMillis() / 1000.0;
    return Math.min(
        delayed, (long) (releasedPerSecond * Math.min(seconds, CATCH_UP_FACTOR * sinceBeginning)));
  }

  /**
   * Returns how long it takes until all tokens are released if no further note is written.
   *
   * @param since age of the note
   */
  public static Duration untilAll(Duration since) {
    return until(ALL_RELEASED_AFTER, since);
  }

  /**
   * Returns how long it takes until {@code tokens} of the delayed ones are released if no further
   * note is written.
   *
   * @param since age of the note
   */
  public Duration untilReleased(long tokens, Duration since) {
    if (tokens <= released(since)) {
      return Duration.ZERO;
    }
    if (tokens > delayed || releasedPerSecond == 0) {
      return untilAll(since);
    }
    double millis = tokens * 1000.0 / releasedPerSecond;
    Duration byRate = Duration.ofMillis((long) Math.ceil(millis));
    Duration duringCatchUp =
        RELEASE_BEGINS_AFTER.plusMillis((long) Math.ceil(millis / CATCH_UP_FACTOR));
    Duration untilReleased = byRate.compareTo(duringCatchUp) > 0 ? byRate : duringCatchUp;
    return until(
        untilReleased.compareTo(ALL_RELEASED_AFTER) < 0 ? untilReleased : ALL_RELEASED_AFTER,
        since);
  }

  private static Duration until(Duration at, Duration since) {
    Duration remaining = at.minus(since);
    return remaining.isNegative() ? Duration.ZERO : remaining;
  }
}
