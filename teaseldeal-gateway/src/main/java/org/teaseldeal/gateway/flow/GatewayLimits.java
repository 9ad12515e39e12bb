package org.teaseldeal.gateway.flow;

import java.time.Duration;

/**
 * Bounds that the deployment sets.
 *
 * @param retryShare repeats for each request of a service, over {@code retryWindow}
 * @param retryReserve repeats that the fleet may send besides in a window
 */
public record GatewayLimits(double retryShare, double retryReserve, Duration retryWindow) {}
