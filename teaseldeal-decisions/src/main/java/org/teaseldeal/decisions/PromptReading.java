package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * Whether an engine can have read a prompt by the time that it broke off.
 *
 * <p>Load pattern: engines that reset the connections of many requests as these arrive, within
 * milliseconds, while a customer's total runs out. Charged in full, each such prompt takes from the
 * customer what nobody used, and its later requests are refused although the total covers them.
 *
 * <p>A run begins with its first token, and for that the whole of the prompt has to be read. So an
 * engine that broke off sooner than any engine could have read the prompt has used nothing of it.
 */
public final class PromptReading {
  /**
   * Half more than the 66 tokens that the fastest engines in use read in a millisecond, so that a
   * faster one isn't taken for one that has not read.
   */
  private static final long FASTEST_TOKENS_PER_MILLI = 100;

  private PromptReading() {}

  /**
   * Whether a prompt may have been read.
   *
   * @param tokens of the prompt that no engine can have had in its cache
   * @param since the request was sent
   */
  public static boolean mayBeDone(long tokens, Duration since) {
    return since.toNanos() * FASTEST_TOKENS_PER_MILLI >= tokens * Duration.ofMillis(1).toNanos();
  }
}
