package org.teaseldeal.api;

/**
 * The ranges of token counts. Counts that come from outside are limited to these ranges where they
 * are decoded, so that no sum, product or rate of them overflows.
 */
public final class TokenCounts {
  /**
   * Upper limit of a customer's total in tokens: more than any customer uses, and small enough for
   * the sum over all instances of a fleet.
   */
  public static final long MAX_TOTAL = Long.MAX_VALUE >> 16;

  private TokenCounts() {}
}
