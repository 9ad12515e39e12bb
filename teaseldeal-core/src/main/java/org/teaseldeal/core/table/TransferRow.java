package org.teaseldeal.core.table;

import java.time.Instant;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.ServiceId;

/**
 * A request for tokens from a peer. Crediting the reply removes the row.
 *
 * <p>The row stays when the request that needed the tokens has given up, because the peer may have
 * debited them.
 */
public final class TransferRow {
  public final long number;
  public final IncarnationId donor;
  public final ServiceId service;
  public final long requestedTokens;
  public final long minimumTokens;
  public final Instant requestedAt;
  public Instant sentAt;

  public TransferRow(
      long number,
      IncarnationId donor,
      ServiceId service,
      long requestedTokens,
      long minimumTokens,
      Instant now) {
    this.number = number;
    this.donor = donor;
    this.service = service;
    this.requestedTokens = requestedTokens;
    this.minimumTokens = minimumTokens;
    this.requestedAt = now;
    this.sentAt = now;
  }
}
