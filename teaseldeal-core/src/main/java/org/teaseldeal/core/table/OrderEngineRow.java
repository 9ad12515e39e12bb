package org.teaseldeal.core.table;

import java.time.Instant;
import java.util.TreeSet;

/** One engine whose state is compared with the desired state. */
public final class OrderEngineRow {
  /** Time of the next query for the engine's state. */
  public Instant nextQueryAt;

  /** Deadline for the answers to the last orders. After it, the engine is queried again. */
  public Instant answerDeadline = Instant.MIN;

  /** Whether the engine had the desired state when it was last queried. */
  public boolean matchesSettings;

  /** Numbers of the orders that have not been answered. */
  public final TreeSet<Long> unansweredOrders = new TreeSet<>();

  /** The highest fencing token that the engine named when it refused an order, or zero. */
  public long highestSeenFencingToken;

  public OrderEngineRow(Instant nextQueryAt) {
    this.nextQueryAt = nextQueryAt;
  }
}
