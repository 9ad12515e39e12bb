package org.teaseldeal.gateway.account;

import org.teaseldeal.api.Problem;

/** Receives the outcome of one token request; exactly one of the methods is called, once. */
public interface ReservationListener {
  /**
   * Called when the tokens have been reserved. The listener has to settle the reservation later.
   */
  void onReserved(Reservation reservation);

  /** Called when the tokens can't be reserved. */
  void onRefused(Problem problem);
}
