package org.teaseldeal.decisions;

import org.teaseldeal.api.Preconditions;

/**
 * Estimates how many tokens fit into the memory of an engine that all instances send prompts to.
 *
 * <p>An engine has places for 64 requests and memory for 30 of 12 000 tokens. If it holds more than
 * its memory has, it preempts requests in the middle of their answers, or crashes with all of them.
 * An instance knows its own requests exactly. Of the others' it knows their number, and takes them
 * to be as large as its own were on average.
 */
public final class EngineMemory {
  /** The weight of a new request in the mean size. */
  private static final double MEAN_STEP = 0.02;

  private final double usableShare;
  private double meanTokens;

  /**
   * Creates the estimate for the engines of a service.
   *
   * @param usableShare part of the memory that may be filled, above 0 and up to 1
   */
  public EngineMemory(double usableShare) {
    Preconditions.require(
        usableShare > 0 && usableShare <= 1,
        "usable share was %s, expected above 0 and up to 1".formatted(usableShare));
    this.usableShare = usableShare;
  }

  /**
   * Records a request whose prompt and answer have up to {@code tokens} tokens. One that is larger
   * than the memory takes no room anywhere, as every engine refuses it.
   *
   * @param capacity tokens in the engine's memory; 0 if unknown
   */
  public void onSent(long tokens, long capacity) {
    if (capacity > 0 && tokens > capacity) {
      return;
    }
    meanTokens = meanTokens == 0 ? tokens : meanTokens + MEAN_STEP * (tokens - meanTokens);
  }

  /**
   * Returns the number of tokens that there is room for; it may be negative. An engine without
   * requests takes any: it refuses by itself what is larger than its memory.
   *
   * @param capacity tokens in the engine's memory; 0 if unknown, so that any request fits
   * @param own tokens of this instance's requests there, with their answers to come
   * @param others number of other instances' requests there
   * @param othersAhead prompt tokens of these requests that are still to be read
   */
  public long left(long capacity, long own, int others, long othersAhead) {
    if (capacity <= 0 || (own <= 0 && others <= 0)) {
      return Long.MAX_VALUE;
    }
    long ofOthers = Math.max(Math.round(others * meanTokens), othersAhead);
    return (long) (capacity * usableShare) - own - ofOthers;
  }
}
