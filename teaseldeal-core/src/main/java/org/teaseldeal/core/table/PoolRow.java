package org.teaseldeal.core.table;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.teaseldeal.api.ServiceId;
import org.teaseldeal.decisions.AdmissionQueue;
import org.teaseldeal.decisions.DrainRate;
import org.teaseldeal.decisions.QueueRule;
import org.teaseldeal.decisions.RetryBudget;
import org.teaseldeal.decisions.ServerHealth;

/** One pool of backend servers: its admission queue and the measurements of its servers. */
public final class PoolRow {
  private static final Duration INITIAL_EJECTION = Duration.ofSeconds(2);
  private static final Duration MAX_EJECTION = Duration.ofMinutes(1);
  private static final Duration RAMP_UP = Duration.ofSeconds(10);
  private static final Duration ASSUMED_RUN_TIME = Duration.ofSeconds(1);

  public final String name;
  public final AdmissionQueue<RequestRow> queue;
  public final RetryBudget retryBudget;
  public final DrainRate drainRate = new DrainRate(ASSUMED_RUN_TIME);
  public final ServerHealth health = new ServerHealth(INITIAL_EJECTION, MAX_EJECTION, RAMP_UP);
  public long placementTurn;

  /** Whether any servers of this pool have been listed before. */
  public boolean hasBeenListed;

  /** Run times of each service's requests, which can differ widely within one pool. */
  private final Map<ServiceId, DrainRate> serviceRates = new HashMap<>();

  public PoolRow(String name, RetryBudget retryBudget, QueueRule rule) {
    this.name = name;
    queue = new AdmissionQueue<>(rule);
    this.retryBudget = retryBudget;
  }

  /** Returns the measured run times of {@code service}. */
  public DrainRate serviceRate(ServiceId service) {
    return serviceRates.computeIfAbsent(service, id -> new DrainRate(Duration.ZERO));
  }
}
