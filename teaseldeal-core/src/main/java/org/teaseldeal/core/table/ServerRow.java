package org.teaseldeal.core.table;

import java.time.Instant;
import org.teaseldeal.api.BackendServerId;

/** One incarnation of a backend server. */
public final class ServerRow {
  public final BackendServerId id;
  public final String pool;
  public final String address;
  public final boolean inLocalDataCentre;

  /** Requests that this instance has in flight at the server. */
  public int outstandingHere;

  /**
   * The value of {@link #outstandingHere} at this instance's last heartbeat, the time that {@link
   * #outstandingAtPeers} refers to.
   */
  public int outstandingHereAtLastHeartbeat;

  /** Requests that peers have in flight at the server, according to their last heartbeats. */
  public int outstandingAtPeers;

  public boolean listed = true;

  /** Until this time the server is not chosen because a connection to it failed. */
  public Instant unreachableUntil = Instant.MIN;

  public int reportedRunning;
  public int reportedWaiting;

  public ServerRow(BackendServerId id, String pool, String address, boolean inLocalDataCentre) {
    this.id = id;
    this.pool = pool;
    this.address = address;
    this.inLocalDataCentre = inLocalDataCentre;
  }
}
