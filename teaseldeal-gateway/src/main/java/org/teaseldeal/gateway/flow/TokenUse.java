package org.teaseldeal.gateway.flow;

import java.util.Optional;

/**
 * The tokens that a request has used at most, over all its attempts.
 *
 * <p>The prompt counts once, as soon as a backend server may have read it; output counts as far as
 * it was sent to the caller.
 */
final class TokenUse {
  private final Optional<PromptTerms> prompt;
  private final int tokensPerEvent;
  private boolean promptRead;

  TokenUse(Optional<PromptTerms> prompt, int tokensPerEvent) {
    this.prompt = prompt;
    this.tokensPerEvent = tokensPerEvent;
  }

  /** Takes note of an attempt that was answered, broken off or given up. */
  void after(Attempt attempt) {
    promptRead |= attempt.mayHaveReadPrompt();
  }

  /** Tokens used if the caller was sent {@code events}. */
  long tokens(long events) {
    return promptRead || events > 0
        ? prompt.map(terms -> terms.inputTokens() + output(terms, events)).orElse(0L)
        : 0;
  }

  private long output(PromptTerms terms, long events) {
    return Math.min(terms.maxOutputTokens(), outputTokens(events));
  }

  /** Tokens in {@code events} at most. */
  long outputTokens(long events) {
    return events * tokensPerEvent;
  }
}
