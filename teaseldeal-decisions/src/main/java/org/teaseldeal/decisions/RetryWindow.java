package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import org.teaseldeal.api.Preconditions;

/**
 * Lets an instance's repeats stay within its part of a bound that the whole fleet must keep.
 *
 * <p>Load pattern: many requests fail at once, and each instance sends its own again. The bound is
 * a share of the requests of any window plus a fixed reserve for all instances together. An
 * instance keeps to the share of its own requests and to its even part of the reserve, so the sum
 * holds with no message between them. Without it a failing service gets twice the load just when it
 * can least take it.
 */
public final class RetryWindow {
  /** Steps that the window slides in; a tenth of the window is counted too long at worst. */
  private static final int BUCKETS = 11;

  /**
   * The part of the bound that is used. Requests reach an instance and its repeats a server at
   * different moments, and instances come and go; a tenth covers both at today's sizes.
   */
  private static final double USED_PART = 0.9;

  private final double share;
  private final double reserve;
  private final long bucketMillis;
  private final int[] firsts = new int[BUCKETS];
  private final int[] repeats = new int[BUCKETS];
  private long newest = Long.MIN_VALUE;

  /**
   * Creates a window.
   *
   * @param share repeats for each request
   * @param reserve repeats that all instances together may send besides, in a window
   */
  public RetryWindow(double share, double reserve, Duration window) {
    Preconditions.requirePositive(window.toMillis(), "window");
    this.share = share;
    this.reserve = reserve;
    this.bucketMillis = window.toMillis() / (BUCKETS - 1);
  }

  /** Counts a request's first sending. */
  public void onFirst(Instant now) {
    firsts[slide(now)]++;
  }

  /**
   * Takes the right to one repeat, if there is one.
   *
   * @param instances that share the reserve, this one included
   */
  public boolean tryRepeat(Instant now, int instances) {
    Preconditions.requirePositive(instances, "instances");
    int bucket = slide(now);
    double allowed = USED_PART * (share * sum(firsts) + reserve / instances);
    if (sum(repeats) + 1 > allowed) {
      return false;
    }
    repeats[bucket]++;
    return true;
  }

  private int slide(Instant now) {
    long bucket = now.toEpochMilli() / bucketMillis;
    if (newest == Long.MIN_VALUE || bucket - newest >= BUCKETS) {
      Arrays.fill(firsts, 0);
      Arrays.fill(repeats, 0);
      newest = bucket;
    }
    while (newest < bucket) {
      newest++;
      firsts[index(newest)] = 0;
      repeats[index(newest)] = 0;
    }
    return index(newest);
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
