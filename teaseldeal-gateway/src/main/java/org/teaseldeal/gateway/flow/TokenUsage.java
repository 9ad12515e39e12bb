package org.teaseldeal.gateway.flow;

import java.util.Optional;

/**
 * An upper bound of the tokens that a request has used in all its attempts.
 *
 * <p>The prompt counts once, from the time at which a backend server may have read it. Output
 * counts as far as it was sent to the caller.
 */
final class TokenUsage {
  private final Optional<PromptDescription> prompt;
  private final int tokensPerEvent;
  private boolean promptRead;

  TokenUsage(Optional<PromptDescription> prompt, int tokensPerEvent) {
    this.prompt = prompt;
    this.tokensPerEvent = tokensPerEvent;
  }

  /** Takes into account an attempt that was answered, aborted or given up. */
  void onAttemptEnded(Attempt attempt) {
    promptRead |= attempt.mayHaveReadPrompt();
  }

  /** The largest number of tokens used if {@code events} events were sent to the caller. */
  long usedTokens(long events) {
    return promptRead || events > 0
        ? prompt
            .map(description -> description.inputTokens() + usedOutputTokens(description, events))
            .orElse(0L)
        : 0;
  }

  private long usedOutputTokens(PromptDescription description, long events) {
    return Math.min(description.maxOutputTokens(), outputTokensIn(events));
  }

  /** The largest number of output tokens in {@code events} events. */
  long outputTokensIn(long events) {
    return events * tokensPerEvent;
  }
}
