package org.teaseldeal.operator.fleet;

import java.util.Optional;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;

/**
 * One entry instance as the platform lists it.
 *
 * @param adminAddress {@code host:port} of its admin listener, if it registered one
 */
public record ListedInstance(
    InstanceId instance,
    IncarnationId incarnation,
    DataCentre dataCentre,
    boolean leaving,
    Optional<String> adminAddress) {}
