package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import org.teaseldeal.api.Preconditions;

/**
 * Limits an instance's retries to its part of a limit for the whole fleet.
 *
 * <p>If many requests fail at once, each instance retries its own. The fleet's limit is a share of
 * the requests in any time window plus a fixed reserve for all instances together. Each instance
 * keeps to the share of its own requests and to its even part of the reserve, so the sum stays
 * within the limit without messages between instances. Without a limit, a failing service would get
 * twice the load when it can least handle it.
 */
public final class RetryWindow {
  /**
   * Number of buckets of the sliding window; at worst, a request counts for a tenth of the window
   * too long.
   */
  private static final int BUCKETS = 11;

  /**
   * Fraction of the limit that is used. An instance sees a request and a server sees its retry at
   * different moments, and instances join and leave; a tenth covers both at the present fleet
   * sizes.
   */
  private static final double USED_FRACTION = 0.9;

  private final double share;
  private final double reserve;
  private final long bucketMillis;
  private final int[] firstAttempts = new int[BUCKETS];
  private final int[] retries = new int[BUCKETS];
  private long newestBucket = Long.MIN_VALUE;

  /**
   * Creates a window.
   *
   * @param share number of retries allowed per request
   * @param reserve number of additional retries that all instances together may send per window
   * @param window length of the window
   */
  public RetryWindow(double share, double reserve, Duration window) {
    Preconditions.requirePositive(window.toMillis(), "window");
    this.share = share;
    this.reserve = reserve;
    this.bucketMillis = window.toMillis() / (BUCKETS - 1);
  }

  /** Records the first attempt of a request. */
  public void onFirstAttempt(Instant now) {
    firstAttempts[slide(now)]++;
  }

  /**
   * Takes one retry out of the window; returns whether one was available.
   *
   * @param instances number of instances that share the reserve, including this one
   */
  public boolean tryRetry(Instant now, int instances) {
    Preconditions.requirePositive(instances, "instances");
    int bucket = slide(now);
    double allowed = USED_FRACTION * (share * sum(firstAttempts) + reserve / instances);
    if (sum(retries) + 1 > allowed) {
      return false;
    }
    retries[bucket]++;
    return true;
  }

  /** Returns a retry that was taken at {@code takenAt} and not sent. */
  public void returnRetry(Instant takenAt) {
    long bucket = takenAt.toEpochMilli() / bucketMillis;
    boolean inWindow = newestBucket != Long.MIN_VALUE && newestBucket - bucket < BUCKETS;
    if (inWindow && retries[index(bucket)] > 0) {
      retries[index(bucket)]--;
    }
  }

  private int slide(Instant now) {
    long bucket = now.toEpochMilli() / bucketMillis;
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket >= BUCKETS) {
      Arrays.fill(firstAttempts, 0);
      Arrays.fill(retries, 0);
      newestBucket = bucket;
    }
    while (newestBucket < bucket) {
      newestBucket++;
      firstAttempts[index(newestBucket)] = 0;
      retries[index(newestBucket)] = 0;
    }
    return index(newestBucket);
  }

  private static int index(long bucket) {
    return (int) Math.floorMod(bucket, (long) BUCKETS);
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }
}
