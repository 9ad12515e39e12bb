package org.teaseldeal.core.system;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.table.AttemptRow;
import org.teaseldeal.core.table.PoolRow;
import org.teaseldeal.core.table.RequestRow;
import org.teaseldeal.core.table.ServerRow;

/** Measures how servers handle their requests, as input for placement and admission decisions. */
final class LoadSystem {
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

  /**
   * The number of output tokens to which the fixed cost of a model request is equivalent. Without
   * it, a server that produced short answers would seem slow per token.
   */
  private static final double FIXED_COST_OUTPUT_TOKENS = 10;

  private final Context context;
  private Instant checkedAt = Instant.MIN;

  LoadSystem(Context context) {
    this.context = context;
  }

  /** Records a complete answer. */
  void onAnswered(AttemptRow attempt, Usage usage) {
    PoolRow pool = pool(attempt);
    if (pool == null) {
      return;
    }
    Duration took = Duration.between(attempt.startedAt, context.now());
    pool.drainRate.onFinished(took);
    pool.serviceRate(attempt.request.service.id()).onFinished(took);
    pool.health.onAnswered(
        attempt.server.id, took, workUnits(attempt.request, usage.outputTokens()));
  }

  /** Records a failure that the server caused. */
  void onFailed(AttemptRow attempt) {
    PoolRow pool = pool(attempt);
    if (pool != null) {
      pool.health.onFailed(attempt.server.id);
    }
  }

  /**
   * Updates the health of servers from the platform's list, the age of running requests, and the
   * recorded answers and failures.
   */
  void run() {
    Instant now = context.now();
    if (now.isBefore(checkedAt.plus(CHECK_INTERVAL))) {
      return;
    }
    checkedAt = now;
    context.tables.pools.values().forEach(pool -> updateListedServers(pool, now));
    checkRunningAttempts(now);
    context.tables.pools.values().forEach(pool -> pool.health.update(now));
  }

  private void updateListedServers(PoolRow pool, Instant now) {
    Set<BackendServerId> listed = new TreeSet<>();
    for (ServerRow server : context.tables.servers.values()) {
      if (server.listed && server.pool.equals(pool.name)) {
        listed.add(server.id);
      }
    }
    if (!listed.isEmpty()) {
      pool.health.onListed(listed, now, !pool.hasBeenListed);
      pool.hasBeenListed = true;
    }
  }

  private void checkRunningAttempts(Instant now) {
    Set<BackendServerId> seen = new HashSet<>();
    for (AttemptRow attempt : List.copyOf(context.tables.runningAttempts.values())) {
      PoolRow pool = pool(attempt);
      // Attempts are numbered in the order in which they start, so the first one of a server is the
      // oldest.
      if (pool != null && seen.add(attempt.server.id)) {
        Duration age = Duration.between(attempt.startedAt, now);
        double most = workUnits(attempt.request, attempt.request.outputCap);
        pool.health.onStillRunning(attempt.server.id, age, most);
      }
    }
  }

  private static double workUnits(RequestRow request, long outputTokens) {
    return request.isModel() ? FIXED_COST_OUTPUT_TOKENS + outputTokens : 1;
  }

  private @Nullable PoolRow pool(AttemptRow attempt) {
    return context.tables.pools.get(attempt.request.service.pool());
  }
}
