package org.teaseldeal.gateway.account;

import org.teaseldeal.api.Preconditions;

/** Tokens set aside for one request at its largest. */
public record Reservation(String customer, long tokens) {
  /** For a request that draws on no total. */
  public static final Reservation NONE = new Reservation("", 0);

  public Reservation {
    Preconditions.requireNotNegative(tokens, "tokens");
  }
}
