package org.teaseldeal.gateway.flow;

import java.util.List;
import org.teaseldeal.api.TokenCounts;

/**
 * The caller's description of its prompt.
 *
 * @param inputTokens the number of tokens in the prompt
 * @param maxOutputTokens the largest number of tokens that may be generated
 * @param parts the parts of the prompt in order; the last part is specific to this request or its
 *     session, the parts before it may be shared with other prompts
 */
public record PromptDescription(long inputTokens, long maxOutputTokens, List<PromptPart> parts) {
  public PromptDescription {
    TokenCounts.requireOfRequest(inputTokens, "input tokens");
    TokenCounts.requireOfRequest(maxOutputTokens, "max output tokens");
    parts = List.copyOf(parts);
  }

  /** The largest number of tokens that the request can use, prompt and output together. */
  public long maxTokens() {
    return inputTokens + maxOutputTokens;
  }

  /** All parts except the last, in order. */
  List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** The number of tokens in all parts except the last. */
  public long sharedTokens() {
    long shared = sharedParts().stream().mapToLong(PromptPart::tokens).sum();
    return Math.min(shared, inputTokens);
  }

  /** The number of tokens in the last part, which no other request contains. */
  public long unsharedTokens() {
    return inputTokens - sharedTokens();
  }

  /** The ids of all parts except the last, in order. */
  List<String> sharedPartIds() {
    return sharedParts().stream().map(PromptPart::id).toList();
  }

  /**
   * The id of the last part that other prompts may share, which stands for the longest shared
   * prefix; empty if the prompt has no shared part.
   */
  public String lastSharedPartId() {
    return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
  }
}
