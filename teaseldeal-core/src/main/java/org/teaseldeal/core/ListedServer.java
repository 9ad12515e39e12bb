package org.teaseldeal.core;

import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.DataCentre;

/**
 * One backend server in the platform's list.
 *
 * @param id the incarnation of the server; a restarted server has another one
 * @param address {@code host:port}, with an IP address as the host
 */
public record ListedServer(
    BackendServerId id, String pool, String address, DataCentre dataCentre, boolean leaving) {}
