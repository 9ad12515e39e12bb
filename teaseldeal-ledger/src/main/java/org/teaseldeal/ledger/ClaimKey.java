package org.teaseldeal.ledger;

import org.teaseldeal.api.Preconditions;

/** Identifies a claim by the digest of team, service, customer and the caller's idempotency key. */
public record ClaimKey(String digest) {
  public ClaimKey {
    Preconditions.requireText(digest, "claim key");
  }

  @Override
  public String toString() {
    return digest;
  }
}
