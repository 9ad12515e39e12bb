package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.core.Payload;
import org.teaseldeal.core.table.PoolRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.ServerRow;
import org.teaseldeal.core.table.Stage;
import org.teaseldeal.decisions.AdmissionQueue.Entry;
import org.teaseldeal.decisions.AdmissionQueue.Verdict;
import org.teaseldeal.decisions.PlacementPolicy;
import org.teaseldeal.decisions.QueueRule;
import org.teaseldeal.decisions.RetryAfterJitter;
import org.teaseldeal.decisions.RetryBudget;
import org.teaseldeal.decisions.ServerView;
import org.teaseldeal.decisions.SharedLimit;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.PoolSettings;

/** Queues the requests of each pool and assigns them to backend servers with free capacity. */
final class PlacementSystem {
  /** Engines process many input tokens per step, but need one step for each output token. */
  private static final double INPUT_BYTES_PER_OUTPUT_TOKEN = 40;

  private static final double DEFAULT_RETRY_SHARE = 0.1;

  private final Context context;
  private final SettingsView settings;
  private final RequestCompletion completion;
  private final AttemptSystem attempts;
  private final PeerView peers;
  private final PlacementPolicy policy;
  private final QueueRule queueRule;

  PlacementSystem(
      Context context,
      SettingsView settings,
      RequestCompletion completion,
      AttemptSystem attempts,
      PeerView peers,
      PlacementPolicy policy,
      QueueRule queueRule) {
    this.context = context;
    this.settings = settings;
    this.completion = completion;
    this.attempts = attempts;
    this.peers = peers;
    this.policy = policy;
    this.queueRule = queueRule;
  }

  /**
   * Starts a request at once if a server has capacity and no request waits before it, and otherwise
   * queues it.
   */
  void enqueue(RequestRow request) {
    if (!context.now().isBefore(request.deadline)) {
      // After this process was suspended, tokens or claims can arrive for callers that stopped
      // waiting long ago.
      completion.fail(
          request,
          ErrorKind.EXPIRED_WAITING,
          "its deadline passed before a server was given it",
          context.limits().retryAfter());
      return;
    }
    PoolRow pool = pool(request.service.pool());
    Optional<PoolSettings> poolSettings = poolSettings(pool.name);
    if (poolSettings.isEmpty() || eligibleServers(pool, request).isEmpty()) {
      completion.fail(
          request,
          ErrorKind.NO_BACKEND_SERVER,
          "no server of pool %s is listed as live".formatted(pool.name),
          context.limits().retryAfter());
      return;
    }
    if (pool.queue.size() == 0 && tryStart(pool, poolSettings.get(), request)) {
      return;
    }
    request.stage = Stage.QUEUED;
    Verdict verdict =
        pool.queue.offer(
            queueEntry(pool, request),
            pool.drainRate.startsPerSecond(outstandingInPool(pool)),
            context.now());
    if (verdict instanceof Verdict.TooLate(Duration retryAfter)) {
      completion.fail(
          request,
          ErrorKind.DEADLINE_UNREACHABLE,
          "its turn among %d that wait would come too late".formatted(pool.queue.size()),
          RetryAfterJitter.addJitter(retryAfter, context.random));
    }
  }

  /** Starts waiting requests while servers have capacity. */
  void run() {
    for (PoolRow pool : context.tables.pools.values()) {
      refuseExpired(pool);
      poolSettings(pool.name).ifPresent(s -> startWaiting(pool, s));
    }
  }

  /**
   * Refuses waiting requests that can't finish in time any more, rather than running them for
   * callers that have given up.
   */
  private void refuseExpired(PoolRow pool) {
    for (Optional<Entry<RequestRow>> expired = pool.queue.pollExpired(context.now());
        expired.isPresent();
        expired = pool.queue.pollExpired(context.now())) {
      completion.fail(
          expired.get().item(),
          ErrorKind.EXPIRED_WAITING,
          "no backend server had room in time",
          RetryAfterJitter.addJitter(context.limits().retryAfter(), context.random));
    }
  }

  private void startWaiting(PoolRow pool, PoolSettings poolSettings) {
    int turns = pool.queue.size();
    while (turns-- > 0 && pool.queue.size() > 0) {
      if (policy
          .choose(serverViews(pool, poolSettings, null), pool.placementTurn, context.random)
          .isEmpty()) {
        return;
      }
      Optional<Entry<RequestRow>> next = pool.queue.poll();
      if (next.isEmpty()) {
        return;
      }
      RequestRow request = next.get().item();
      if (!tryStart(pool, poolSettings, request)) {
        requeue(pool, request);
      }
    }
  }

  /**
   * Queues a request again if it has already failed on every server that has capacity, or refuses
   * it if it has failed on all servers of the pool.
   */
  private void requeue(PoolRow pool, RequestRow request) {
    if (eligibleServers(pool, request).isEmpty()) {
      completion.fail(request, ErrorKind.BACKEND_FAILED, "no other server is left to try");
      return;
    }
    pool.queue.offer(queueEntry(pool, request), Double.MAX_VALUE, context.now());
  }

  private boolean tryStart(PoolRow pool, PoolSettings poolSettings, RequestRow request) {
    Optional<ServerView> chosen =
        policy.choose(serverViews(pool, poolSettings, request), pool.placementTurn, context.random);
    if (chosen.isEmpty()) {
      return false;
    }
    pool.placementTurn++;
    if (request.attempts == 0) {
      pool.retryBudget.onFirstAttempt();
    }
    ServerRow server = context.tables.servers.get(chosen.get().id());
    if (server == null) {
      return false;
    }
    attempts.start(request, server);
    return true;
  }

  private List<ServerView> serverViews(
      PoolRow pool, PoolSettings poolSettings, @Nullable RequestRow request) {
    Instant now = context.now();
    List<ServerRow> eligible = eligibleServers(pool, request);
    List<ServerRow> reachable =
        eligible.stream()
            .filter(server -> !now.isBefore(server.unreachableUntil))
            .filter(server -> pool.health.isEligible(server.id, now))
            .toList();
    // If every server is unreachable or ejected, trying one of them is better than trying none.
    List<ServerRow> candidates = reachable.isEmpty() ? eligible : reachable;
    int instances = peers.live().size() + 1;
    int ownInPool = outstandingInPool(pool);
    int poolLimit = poolSettings.maxConcurrentPerServer() * eligible.size();
    return candidates.stream()
        .map(server -> serverView(pool, poolSettings, server, ownInPool, poolLimit, instances))
        .toList();
  }

  private ServerView serverView(
      PoolRow pool,
      PoolSettings poolSettings,
      ServerRow server,
      int ownInPool,
      int poolLimit,
      int instances) {
    double ramp = pool.health.rampShare(server.id, context.now());
    int limit = (int) Math.ceil(poolSettings.maxConcurrentPerServer() * ramp);
    SharedLimit shared =
        new SharedLimit(
            limit,
            server.outstandingHere,
            server.outstandingHereAtLastHeartbeat,
            server.outstandingAtPeers);
    return new ServerView(
        server.id,
        server.outstandingHere,
        server.outstandingAtPeers,
        limit,
        pool.health.slowness(server.id),
        shared.hasRoom(ownInPool, poolLimit, instances),
        server.inLocalDataCentre);
  }

  private int outstandingInPool(PoolRow pool) {
    return context.tables.servers.values().stream()
        .filter(server -> server.pool.equals(pool.name))
        .mapToInt(server -> server.outstandingHere)
        .sum();
  }

  private List<ServerRow> eligibleServers(PoolRow pool, @Nullable RequestRow request) {
    return context.tables.servers.values().stream()
        .filter(s -> s.pool.equals(pool.name) && s.listed)
        .filter(s -> !context.tables.leavingServers.contains(s.id))
        .filter(s -> request == null || !request.triedServers.contains(s.id))
        .toList();
  }

  PoolRow pool(String name) {
    return context.tables.pools.computeIfAbsent(
        name,
        n -> {
          double share =
              settings.fleet().map(FleetSettings::maxRetryShare).orElse(DEFAULT_RETRY_SHARE);
          return new PoolRow(n, new RetryBudget(share), queueRule);
        });
  }

  private Optional<PoolSettings> poolSettings(String name) {
    return settings.fleet().flatMap(fleet -> Optional.ofNullable(fleet.pools().get(name)));
  }

  private static Entry<RequestRow> queueEntry(PoolRow pool, RequestRow request) {
    return new Entry<>(
        request,
        request.customer.id(),
        request.customer.weight(),
        request.service.priority().rank(),
        cost(request),
        latestStart(pool, request),
        request.arrivedAt);
  }

  private static double cost(RequestRow request) {
    return request.payload instanceof Payload.ModelCall model
        ? request.outputCap + model.inputTokenBound() / INPUT_BYTES_PER_OUTPUT_TOKEN
        : 1;
  }

  /**
   * Returns the latest start at which the request is likely to finish in time, but at least half of
   * the caller's timeout after its arrival. A service that usually takes longer than its callers
   * wait is therefore still tried.
   */
  private static Instant latestStart(PoolRow pool, RequestRow request) {
    Duration callerTimeout = Duration.between(request.arrivedAt, request.deadline);
    Duration usualRunTime = pool.serviceRate(request.service.id()).usualMaximum();
    Duration halfTimeout = callerTimeout.dividedBy(2);
    return request.deadline.minus(
        usualRunTime.compareTo(halfTimeout) < 0 ? usualRunTime : halfTimeout);
  }
}
