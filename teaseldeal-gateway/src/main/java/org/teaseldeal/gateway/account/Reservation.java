package org.teaseldeal.gateway.account;

import org.teaseldeal.api.Preconditions;

/**
 * Tokens set aside for one request at its largest.
 *
 * @param drawn the part of them that another instance has given, which stands in its account
 */
public record Reservation(String customer, long tokens, long drawn) {
  /** For a request that draws on no total. */
  public static final Reservation NONE = new Reservation("", 0, 0);

  public Reservation {
    Preconditions.requireNotNegative(drawn, "drawn tokens");
    Preconditions.require(
        drawn <= tokens, "drawn tokens were %d, expected at most %d".formatted(drawn, tokens));
  }

  /** The part that stands in the account of the instance that set it aside. */
  long own() {
    return tokens - drawn;
  }
}
