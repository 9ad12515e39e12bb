package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * Estimates how many requests per second an instance can start at a pool.
 *
 * <p>Counting recent starts would be misleading when the estimate matters most: before a burst
 * there are few requests, and the burst would be rejected although servers are free to accept it.
 * By Little's law, the number of requests in flight divided by their mean duration is the rate at
 * which they end, and each end allows one start.
 */
public final class DrainRate {
  /**
   * Weight of a new observation. 1/32 follows a change within about thirty requests, which takes a
   * second or two at a busy pool, while one slow request moves the mean by 3 %.
   */
  private static final double GAIN = 1.0 / 32;

  private final double assumedSeconds;
  private double meanSeconds;
  private double meanDeviation;
  private long observations;

  /**
   * Creates an estimate that assumes a duration of {@code assumed} per request until the first one
   * has ended.
   */
  public DrainRate(Duration assumed) {
    this.assumedSeconds = assumed.toNanos() / 1e9;
  }

  /** Records a request that took {@code took} from its start to its end. */
  public void onFinished(Duration took) {
    double seconds = Math.max(took.toNanos() / 1e9, 1e-4);
    observations++;
    // Uses the plain mean of the first observations; a moving average would depend on its initial
    // value for the next hundred.
    double gain = Math.max(GAIN, 1.0 / observations);
    double error = seconds - meanSeconds;
    meanSeconds += gain * error;
    meanDeviation += observations == 1 ? 0 : gain * (Math.abs(error) - meanDeviation);
  }

  /** Returns the mean duration of a request. */
  public double meanSeconds() {
    return observations == 0 ? assumedSeconds : meanSeconds;
  }

  /**
   * Returns a time within which most requests end: the mean plus twice the mean deviation.
   *
   * <p>A request that starts with less time left is likely to end after its deadline, so its work
   * is wasted when servers are scarce. If durations vary evenly by half, this time covers all of
   * them.
   */
  public Duration usualMaximum() {
    return Duration.ofNanos((long) ((meanSeconds() + 2 * meanDeviation) * 1e9));
  }

  /**
   * Returns the number of starts per second that {@code inFlight} requests in flight make room for.
   */
  public double startsPerSecond(int inFlight) {
    return Math.max(inFlight, 1) / meanSeconds();
  }
}
