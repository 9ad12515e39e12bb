package org.teaseldeal.operator.fleet;

import java.util.Optional;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.api.InstanceId;

/**
 * One entry instance on the platform's list.
 *
 * @param leaving whether the platform lists the instance as leaving
 * @param adminAddress {@code host:port} of the instance's admin listener; empty if it registered
 *     none
 */
public record ListedInstance(
    InstanceId instance,
    IncarnationId incarnation,
    DataCentre dataCentre,
    boolean leaving,
    Optional<String> adminAddress) {}
