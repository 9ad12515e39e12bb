package org.teaseldeal.core.part;

import org.teaseldeal.core.Payload;
import org.teaseldeal.settings.ServiceSettings;

/** Decides how many tokens are reserved for an attempt before it starts. */
@FunctionalInterface
public interface ReservationRule {
  /**
   * Reserves the most tokens that the attempt can use: the upper bound of its input plus the cap on
   * its output that is sent to the engine, or the fixed cost of a plain call. With a smaller
   * reservation, engines could use more tokens than the budget holds.
   */
  ReservationRule WORST_CASE =
      (payload, service, outputCap) ->
          payload instanceof Payload.ModelCall call
              ? Math.addExact(call.inputTokenBound(), outputCap)
              : service.tokensPerCall();

  /** Returns the number of tokens to reserve. */
  long tokens(Payload payload, ServiceSettings service, long outputCap);
}
