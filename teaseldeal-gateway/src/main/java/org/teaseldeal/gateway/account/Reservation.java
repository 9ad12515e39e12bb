package org.teaseldeal.gateway.account;

import org.teaseldeal.api.Preconditions;

/**
 * Tokens reserved for one request, sized for the largest number of tokens that the request can use.
 *
 * @param customer the customer whose prepaid total the tokens come from
 * @param tokens number of reserved tokens
 * @param drawn the part of {@code tokens} that came from another instance, whose account already
 *     counts it as spent
 */
public record Reservation(String customer, long tokens, long drawn) {
  /** The empty reservation of a request whose customer has no prepaid total. */
  public static final Reservation NONE = new Reservation("", 0, 0);

  public Reservation {
    Preconditions.requireNotNegative(drawn, "drawn tokens");
    Preconditions.require(
        drawn <= tokens, "drawn tokens were %d, expected at most %d".formatted(drawn, tokens));
  }

  /** Returns the part of the reservation that is held in the account of the reserving instance. */
  long ownTokens() {
    return tokens - drawn;
  }
}
