package org.teaseldeal.gateway.flow;

import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.TokenCounts;

/** A part of a prompt. Other prompts may contain the same part. */
public record PromptPart(String id, long tokens) {
  public PromptPart {
    Preconditions.requireText(id, "prompt part id");
    TokenCounts.requireOfRequest(tokens, "prompt part tokens");
  }
}
