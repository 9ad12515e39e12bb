package org.teaseldeal.gateway.flow;

import java.util.Optional;

/**
 * An upper bound of the tokens that a request has used in all its attempts.
 *
 * <p>The prompt counts once, from the time at which a backend server may have read it. Output
 * counts as far as it was sent to the caller.
 */
final class TokenUse {
  private final Optional<PromptTerms> prompt;
  private final int tokensPerEvent;
  private boolean promptRead;

  TokenUse(Optional<PromptTerms> prompt, int tokensPerEvent) {
    this.prompt = prompt;
    this.tokensPerEvent = tokensPerEvent;
  }

  /** Takes into account an attempt that was answered, aborted or given up. */
  void after(Attempt attempt) {
    promptRead |= attempt.mayHaveReadPrompt();
  }

  /** The largest number of tokens used if {@code events} events were sent to the caller. */
  long tokens(long events) {
    return promptRead || events > 0
        ? prompt.map(terms -> terms.inputTokens() + output(terms, events)).orElse(0L)
        : 0;
  }

  private long output(PromptTerms terms, long events) {
    return Math.min(terms.maxOutputTokens(), outputTokens(events));
  }

  /** The largest number of output tokens in {@code events} events. */
  long outputTokens(long events) {
    return events * tokensPerEvent;
  }
}
