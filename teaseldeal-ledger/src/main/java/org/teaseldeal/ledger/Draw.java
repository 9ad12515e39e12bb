package org.teaseldeal.ledger;

import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.Preconditions;

/**
 * An amount of tokens taken from the lease that was granted to {@code source}.
 *
 * <p>Tokens keep their source when instances transfer them to each other. The ledger therefore
 * needs no record of the transfer, and no token can be counted under two leases.
 */
public record Draw(IncarnationId source, long tokens) {
  public Draw {
    Preconditions.requirePositive(tokens, "tokens");
  }
}
