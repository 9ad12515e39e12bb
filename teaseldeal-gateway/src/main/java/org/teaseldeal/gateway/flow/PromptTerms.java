package org.teaseldeal.gateway.flow;

import java.util.List;
import org.teaseldeal.api.Preconditions;

/**
 * What a caller says of its prompt.
 *
 * @param inputTokens in the prompt
 * @param maxOutputTokens that may be generated
 * @param parts of the prompt in order; the last one belongs to this request or its session
 */
public record PromptTerms(long inputTokens, long maxOutputTokens, List<PromptPart> parts) {
  public PromptTerms {
    Preconditions.requireNotNegative(inputTokens, "input tokens");
    Preconditions.requireNotNegative(maxOutputTokens, "max output tokens");
    parts = List.copyOf(parts);
  }

  /** Tokens of the request at its largest. */
  public long atMost() {
    return inputTokens + maxOutputTokens;
  }

  /** All parts but the last, in order. */
  List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Tokens of all parts but the last. */
  public long sharedTokens() {
    long shared = sharedParts().stream().mapToLong(PromptPart::tokens).sum();
    return Math.min(shared, inputTokens);
  }

  /** Tokens of the last part, which no other request has brought. */
  public long unsharedTokens() {
    return inputTokens - sharedTokens();
  }

  /** The ids of all parts but the last, in order. */
  List<String> sharedPartIds() {
    return sharedParts().stream().map(PromptPart::id).toList();
  }

  /** Names the longest beginning that other prompts may share; empty if there is none. */
  public String sharedBeginning() {
    return parts.size() < 2 ? "" : parts.get(parts.size() - 2).id();
  }
}
