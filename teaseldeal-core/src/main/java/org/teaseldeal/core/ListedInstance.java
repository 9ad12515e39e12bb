package org.teaseldeal.core;

import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.InstanceId;

/** One entry instance in the platform's list. {@code peerAddress} is {@code host:port}. */
public record ListedInstance(
    InstanceId id, String peerAddress, DataCentre dataCentre, boolean leaving) {}
