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

  /**
   * Upper limit of each count that a request names, in tokens: more than any engine holds. A larger
   * count is read as this one, since it makes no difference to any decision.
   */
  public static final long MAX_OF_REQUEST = 1_000_000_000_000L;

  private TokenCounts() {}

  /**
   * Returns {@code tokens} if a request may name that count, and throws an {@link
   * IllegalArgumentException} otherwise.
   */
  public static long requireOfRequest(long tokens, String argument) {
    Preconditions.require(
        tokens >= 0 && tokens <= MAX_OF_REQUEST,
        "%s was %d, expected 0 to %d".formatted(argument, tokens, MAX_OF_REQUEST));
    return tokens;
  }
}
