package org.teaseldeal.api;

/** The tokens that a backend server reports for one attempt. */
public record Usage(long inputTokens, long outputTokens) {
  /** No tokens. */
  public static final Usage NONE = new Usage(0, 0);

  public Usage {
    Preconditions.requireNotNegative(inputTokens, "input tokens");
    Preconditions.requireNotNegative(outputTokens, "output tokens");
  }

  /** Returns the sum of input and output tokens, which is what is charged. */
  public long total() {
    return inputTokens + outputTokens;
  }
}
