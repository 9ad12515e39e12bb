package org.teaseldeal.core;

import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.api.Preconditions;

/**
 * The configuration with which an instance starts.
 *
 * @param incarnation identifies this run of the process; a restarted process gets another one
 * @param peerAddress {@code host:port} at which other instances reach this instance
 * @param streams the number of streams of the ledger, which is the same for the whole fleet
 */
public record InstanceConfig(
    InstanceId instance,
    IncarnationId incarnation,
    DataCentre dataCentre,
    String peerAddress,
    int streams,
    InstanceLimits limits) {
  public InstanceConfig {
    Preconditions.requireText(peerAddress, "peer address");
    Preconditions.requirePositive(streams, "streams");
  }
}
