package org.teaseldeal.model;

import java.util.List;
import java.util.Optional;
import org.teaseldeal.gateway.flow.PromptPart;

/**
 * A caller's request, which is the same for each of its attempts.
 *
 * @param parts the parts of the prompt, of which the last is unique to the request; empty for a
 *     plain request
 * @param outputTokens the tokens that the answer has, fewer than the request's limit
 * @param workNanos the service time of a plain request
 * @param crashingPart the part of the prompt that crashes the engine that answers it, if there is
 *     one
 */
record ModelRequest(
    long number,
    Scenario.Kind kind,
    String customer,
    List<PromptPart> parts,
    long inputTokens,
    long outputTokens,
    long workNanos,
    Optional<CrashingPart> crashingPart) {
  /** Returns the limit for output tokens that the request states. */
  long maxOutputTokens() {
    return 2 * outputTokens;
  }
}
