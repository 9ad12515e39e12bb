package org.teaseldeal.decisions;

import java.time.Duration;

/**
 * Decides whether an engine can have processed a prompt before its answer was interrupted.
 *
 * <p>Engines may reset the connections of many requests within milliseconds of their arrival, while
 * a customer's total is nearly used up. If each such prompt were charged in full, the customer
 * would pay for tokens that were never used, and its later requests would be refused although the
 * total covers them.
 *
 * <p>A run begins with its first token, for which the whole prompt has to be processed. Therefore
 * an engine that aborted the answer sooner than any engine could have processed the prompt has not
 * used any of its tokens.
 */
public final class PrefillTime {
  /**
   * Prompt tokens per millisecond of an assumed fastest engine. The fastest engines in use process
   * 66 tokens per millisecond; the margin of half of that avoids mistaking a faster engine for one
   * that has not processed the prompt.
   */
  private static final long FASTEST_TOKENS_PER_MS = 100;

  private PrefillTime() {}

  /**
   * Returns whether a prompt may have been processed.
   *
   * @param tokens number of tokens of the prompt that no engine can have cached
   * @param since time since the request was sent
   */
  public static boolean mayBeComplete(long tokens, Duration since) {
    return since.toNanos() * FASTEST_TOKENS_PER_MS >= tokens * Duration.ofMillis(1).toNanos();
  }
}
