package org.teaseldeal.settings;

import java.time.Duration;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.ServiceId;

/**
 * Settings of one service of a team.
 *
 * @param pool the name of the pool whose backend servers run the service
 * @param model the model name sent to engines; for plain services the service's own name
 * @param idempotent whether a request that may already have run may be run again
 * @param maxOutputTokens the limit on output tokens that is sent to the engine
 * @param tokensPerCall the cost of a plain call in tokens; zero for model services
 */
public record ServiceSettings(
    ServiceId id,
    ServiceKind kind,
    String pool,
    String model,
    PriorityClass priority,
    boolean idempotent,
    long maxOutputTokens,
    long tokensPerCall,
    Duration timeout) {
  public ServiceSettings {
    Preconditions.requireName(pool, "pool");
    Preconditions.requireText(model, "model");
    Preconditions.requireNotNegative(maxOutputTokens, "max_output_tokens");
    Preconditions.requireNotNegative(tokensPerCall, "tokens_per_call");
    Preconditions.requirePositive(timeout.toMillis(), "timeout");
  }
}
