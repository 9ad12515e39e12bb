package org.teaseldeal.bench.scenario;

import java.time.Duration;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.ServiceId;

/**
 * One customer's stream of requests to one service.
 *
 * @param token the customer's bearer token
 * @param perSecond the mean rate of the random arrivals
 * @param prefixWords the number of words at the start of each prompt that all prompts of the flow
 *     share
 * @param promptWords the number of words that differ between prompts
 * @param outputTokens the number of tokens of each answer; not used for plain services
 * @param timeout the time that the caller waits, which it also sends with the request
 * @param keyed whether each request carries an idempotency key
 * @param stream whether the answer is requested as a stream
 */
public record Flow(
    String name,
    Kind kind,
    ServiceId service,
    CustomerId customer,
    String token,
    double perSecond,
    int prefixWords,
    int promptWords,
    int outputTokens,
    Duration timeout,
    boolean keyed,
    boolean stream) {
  /** The kinds of service that a flow can call. */
  public enum Kind {
    MODEL,
    PLAIN
  }

  public Flow {
    Preconditions.require(
        perSecond > 0, "per_second was %s, expected more than 0".formatted(perSecond));
    Preconditions.requirePositive(timeout.toMillis(), "timeout");
  }
}
