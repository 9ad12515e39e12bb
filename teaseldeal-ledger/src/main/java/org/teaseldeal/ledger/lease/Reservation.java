package org.teaseldeal.ledger.lease;

import java.util.List;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.ledger.Draw;

/**
 * Tokens that are reserved for one attempt until the attempt is settled or the reservation is
 * released.
 */
public record Reservation(long number, ServiceId service, List<Draw> draws) {
  public Reservation {
    draws = List.copyOf(draws);
  }

  /** Returns the number of reserved tokens. */
  public long tokens() {
    return draws.stream().mapToLong(Draw::tokens).sum();
  }
}
