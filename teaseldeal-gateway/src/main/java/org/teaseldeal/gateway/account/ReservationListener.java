package org.teaseldeal.gateway.account;

import org.teaseldeal.api.Problem;

/** Is told once what became of a wish for tokens. */
public interface ReservationListener {
  /** The tokens are the request's; they have to be settled. */
  void onReserved(Reservation reservation);

  /** The request can't have them. */
  void onRefused(Problem problem);
}
