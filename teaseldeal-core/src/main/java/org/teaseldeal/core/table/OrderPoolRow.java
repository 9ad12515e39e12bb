package org.teaseldeal.core.table;

import java.time.Instant;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.DesiredEngineState;

/** One pool whose engines receive orders according to the settings in force. */
public final class OrderPoolRow {
  public final String name;
  public DesiredEngineState desired;

  /** Time since which the term holder has continuously seemed unavailable, or null. */
  public @Nullable Instant holderUnavailableSince;

  /**
   * An offset of the fleet stream that the term holder is expected to reach; {@link
   * #expectedHolderOffsetSetAt} is the time at which it was set.
   */
  public long expectedHolderOffset = -1;

  public Instant expectedHolderOffsetSetAt = Instant.MIN;

  /**
   * Whether an entry with which this instance takes over the term has been appended but not read
   * back.
   */
  public boolean takeoverPending;

  /** The engines of the pool as this instance queries them. Only the term holder has any here. */
  public final TreeMap<BackendServerId, OrderEngineRow> engines = new TreeMap<>();

  public OrderPoolRow(String name, DesiredEngineState desired) {
    this.name = name;
    this.desired = desired;
  }
}
