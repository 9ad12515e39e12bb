package org.teaseldeal.core.table;

import java.time.Instant;
import java.util.Map;
import java.util.TreeMap;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.IncarnationId;

/** One incarnation of another instance, as its last heartbeat described it. */
public final class PeerRow {
  public final IncarnationId incarnation;
  public String instance = "";
  public String address = "";
  public String dataCentre = "";
  public boolean draining;
  public boolean ready;
  public Instant lastHeartbeatAt;

  /** The offset up to which the peer has read the stream with the fleet's settings subtree. */
  public long fleetStreamOffset = -1;

  public Map<BackendServerId, Integer> outstandingByServer = new TreeMap<>();

  /** The highest number of a transfer that this peer requested and whose reply it acknowledged. */
  public long highestAcknowledgedTransfer;

  /**
   * The replies to this peer's transfer requests that it has not acknowledged, by transfer number.
   */
  public final Map<Long, UnacknowledgedTransferRow> unacknowledgedTransfers = new TreeMap<>();

  public PeerRow(IncarnationId incarnation, Instant now) {
    this.incarnation = incarnation;
    this.lastHeartbeatAt = now;
  }
}
