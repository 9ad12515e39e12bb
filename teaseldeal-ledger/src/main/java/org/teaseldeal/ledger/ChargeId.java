package org.teaseldeal.ledger;

import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Preconditions;

/**
 * Identifies a charge by the incarnation that settled the request and a number that counts up from
 * 1.
 *
 * <p>Any instance may append the charge to the log, and several instances may do so; the charge
 * counts once.
 */
public record ChargeId(IncarnationId origin, long number) {
  public ChargeId {
    Preconditions.requirePositive(number, "charge number");
  }
}
