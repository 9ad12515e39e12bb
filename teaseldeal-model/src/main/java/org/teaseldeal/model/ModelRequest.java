package org.teaseldeal.model;

import java.util.List;
import org.teaseldeal.gateway.flow.PromptPart;

/**
 * A caller's request, the same for each attempt.
 *
 * @param parts of its prompt, the last one its own; none for a plain request
 * @param outputTokens that its answer has; it allows for more
 * @param workNanos of a plain request
 */
record ModelRequest(
    long number,
    Scenario.Kind kind,
    String customer,
    List<PromptPart> parts,
    long inputTokens,
    long outputTokens,
    long workNanos) {
  /** The most that it may generate. */
  long maxOutputTokens() {
    return 2 * outputTokens;
  }
}
