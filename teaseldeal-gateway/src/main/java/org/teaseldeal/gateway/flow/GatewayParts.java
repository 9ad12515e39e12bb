package org.teaseldeal.gateway.flow;

import java.time.InstantSource;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.account.TokenRequests;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.peer.FleetLoad;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.quarantine.RequestQuarantine;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;

/**
 * What the flow of requests works with.
 *
 * @param plan the plan in force; null until one is known
 * @param othersLoad what other instances have outstanding at the servers
 * @param cachedPrompts what lies in the servers' caches
 * @param instances how many instances there are, this one included
 */
public record GatewayParts(
    Supplier<@Nullable GatewayPlan> plan,
    ServerDirectory servers,
    TokenRequests tokens,
    RequestQuarantine quarantine,
    Dialect dialect,
    BackendPort backends,
    Supplier<FleetLoad> othersLoad,
    CachedPrompts cachedPrompts,
    IntSupplier instances,
    GatewayLimits limits,
    EventSink events,
    InstantSource clock,
    RandomGenerator random) {}
