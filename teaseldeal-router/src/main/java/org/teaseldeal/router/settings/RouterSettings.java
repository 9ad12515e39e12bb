package org.teaseldeal.router.settings;

import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.core.part.PlacementChoice;
import org.teaseldeal.core.part.QueueChoice;

/**
 * The settings that a router needs to start. All others come from the settings tree.
 *
 * @param instance the name of this instance
 * @param dataCentre the data centre in which this instance runs
 * @param platform the {@code host:port} of the platform's service
 * @param streams the number of streams of the ledger, which must be the same for the whole fleet
 * @param tickInterval the longest time between two ticks of the instance's event loop
 * @param callers the address on which the router listens for callers
 * @param peers the address on which the router listens for other instances
 * @param admin the address on which the router listens for operators
 * @param adminCredential the SHA-256, in hexadecimal, of the token that operators send
 * @param limits the limits on memory and time
 * @param placement the policy by which backend servers are chosen
 * @param queue the policy by which requests wait for backend servers
 */
public record RouterSettings(
    InstanceId instance,
    DataCentre dataCentre,
    String platform,
    int streams,
    Duration tickInterval,
    ListenSettings callers,
    ListenSettings peers,
    ListenSettings admin,
    Optional<String> adminCredential,
    RouterLimits limits,
    PlacementChoice placement,
    QueueChoice queue) {}
