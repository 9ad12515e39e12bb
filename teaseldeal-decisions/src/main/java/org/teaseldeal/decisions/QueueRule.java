package org.teaseldeal.decisions;

/**
 * Rules for the requests that wait for a backend server. The second is a baseline for comparison.
 */
public enum QueueRule {
  /** Weighted fair queueing among customers, bounded by each request's deadline. */
  FAIR,

  /**
   * First in, first out, without a bound on the queue's length.
   *
   * <p>Requests whose deadline passes while they wait are dropped nevertheless; a baseline that
   * still ran them would be too easy to beat.
   */
  UNBOUNDED
}
