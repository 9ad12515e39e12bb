package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.gateway.account.TokenRequests;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.path.ServerLinks;
import org.teaseldeal.gateway.peer.PeerLoads;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.quarantine.PromptPartQuarantine;
import org.teaseldeal.gateway.quarantine.RequestQuarantine;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.stream.StreamOrigins;

/**
 * The components that handle requests and what they depend on.
 *
 * @param plan the current plan; null until one is known
 * @param planAge how long ago the current plan was known to be the newest one
 * @param streamOrigins the software versions of the backend servers at which streams began
 * @param peerLoads the load that the other instances have outstanding at the backend servers
 * @param cachedPrompts the prompt parts that are presumably in the backend servers' caches
 * @param instances the number of instances, including this one
 * @param engineOptions how the engines of prompts are chosen
 */
public record GatewayComponents(
    Supplier<@Nullable GatewayPlan> plan,
    Supplier<Duration> planAge,
    ServerDirectory servers,
    TokenRequests tokens,
    RequestQuarantine quarantine,
    PromptPartQuarantine promptParts,
    StreamOrigins streamOrigins,
    Dialect dialect,
    ServerLinks links,
    Supplier<PeerLoads> peerLoads,
    CachedPrompts cachedPrompts,
    IntSupplier instances,
    RetryLimits retryLimits,
    EventSink events,
    InstantSource clock,
    RandomGenerator random,
    EngineOptions engineOptions) {}
