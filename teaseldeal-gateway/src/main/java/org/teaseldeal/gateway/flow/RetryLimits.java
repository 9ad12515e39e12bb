package org.teaseldeal.gateway.flow;

import java.time.Duration;

/**
 * Limits of the retries that the gateway sends to backend servers, from the deployment's settings.
 *
 * @param retryShare the number of retries allowed for each request of a service within {@code
 *     retryWindow}
 * @param retryReserve the number of retries that all instances together may send in addition within
 *     a window
 */
public record RetryLimits(double retryShare, double retryReserve, Duration retryWindow) {}
