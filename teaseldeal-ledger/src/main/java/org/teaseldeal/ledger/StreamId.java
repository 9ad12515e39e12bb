package org.teaseldeal.ledger;

import org.teaseldeal.api.Preconditions;

/**
 * Identifies one of the ledger's streams on the platform's log. Teams are distributed over the
 * streams by hash.
 */
public record StreamId(int index) {
  /** The stream that holds the fleet's settings. */
  public static final StreamId FLEET = new StreamId(0);

  public StreamId {
    Preconditions.requireNotNegative(index, "stream index");
  }

  /** Returns the stream's name on the platform's log. */
  public String logName() {
    return "teaseldeal-ledger-" + index;
  }

  @Override
  public String toString() {
    return logName();
  }
}
