package org.teaseldeal.standin.engine;

import java.util.List;

/**
 * A request to generate an answer.
 *
 * @param priority the priority; lower values are scheduled first
 * @param maxTokens the maximum number of frames
 * @param requestedTokens the length of the answer without that limit
 */
record GenerationRequest(
    String requestId,
    String model,
    String prompt,
    int priority,
    int maxTokens,
    int requestedTokens) {
  List<String> promptTokens() {
    return Tokenizer.tokens(prompt);
  }

  int frames() {
    return Math.min(maxTokens, requestedTokens);
  }

  boolean truncated() {
    return requestedTokens > maxTokens;
  }
}
