package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.Durations;
import org.teaseldeal.api.Preconditions;

/**
 * Ejects unhealthy backend servers of a pool for a while (outlier ejection), and ramps them up when
 * they return.
 *
 * <p>One server among many may fail every request or be many times slower than the others. A
 * failing server answers fast, so it looks idle and attracts ever more requests; a slow server
 * delays the requests that happen to be sent to it. The number of ejected servers is limited: an
 * overload makes all servers slow, and if all were ejected, the remaining ones would break down.
 *
 * <p>Thresholds: at an error rate of a few percent, five failures in a row are beyond chance (0.05⁵
 * is one in three million). A server is slow if its mean time is four times the pool's median over
 * at least eight answers; queueing alone makes means differ by a factor of two to three. At least
 * two thirds of the servers are never ejected at the same time, so that the load of each remaining
 * server rises by at most half.
 */
public final class ServerHealth {
  private static final int MAX_CONSECUTIVE_FAILURES = 5;
  private static final double SLOW_RATIO = 4;
  private static final int MIN_EJECTION_SAMPLES = 8;

  /**
   * Weighting by speed is gradual and quickly corrected, so it may start with fewer samples than an
   * ejection.
   */
  private static final int MIN_WEIGHTING_SAMPLES = 2;

  private static final double MAX_EJECTED_SHARE = 1.0 / 3;
  private static final double MIN_GAIN = 0.1;
  private static final double FIRST_RAMP_SHARE = 0.1;

  /** The observations of one server. */
  private static final class Observations {
    private int consecutiveFailures;
    private int samples;
    private double meanSeconds;
    private double overdueSeconds;
    private int ejections;
    private boolean ejectedForFailures;
    private Instant ejectedUntil = Instant.MIN;
    private Instant rampStart = Instant.MIN;
  }

  private final Duration firstEjection;
  private final Duration longestEjection;
  private final Duration ramp;
  private final Map<BackendServerId, Observations> records = new HashMap<>();
  private double median;
  private boolean medianValid;

  /**
   * Creates the health records of a pool.
   *
   * @param firstEjection duration of a server's first ejection; it doubles with each further one
   * @param longestEjection upper limit of the duration of an ejection
   * @param ramp time over which a new or returning server's limit rises to its full value
   */
  public ServerHealth(Duration firstEjection, Duration longestEjection, Duration ramp) {
    Preconditions.requirePositive(firstEjection.toMillis(), "first ejection");
    Preconditions.requirePositive(ramp.toMillis(), "ramp");
    this.firstEjection = firstEjection;
    this.longestEjection = longestEjection;
    this.ramp = ramp;
  }

  /**
   * Starts the ramp of servers not seen before, and drops the records of servers no longer listed.
   *
   * @param firstList whether this is the first list since this instance started
   */
  public void onListed(Set<BackendServerId> listed, Instant now, boolean firstList) {
    medianValid = false;
    records.keySet().retainAll(listed);
    for (BackendServerId server : listed) {
      records.computeIfAbsent(
          server,
          id -> {
            Observations observations = new Observations();
            // When this instance starts, all servers are new to it, but that doesn't mean that
            // their caches are cold.
            observations.rampStart = firstList ? Instant.MIN : now;
            return observations;
          });
    }
  }

  /** Drops the record of a server whose process was replaced; the next list starts its ramp. */
  public void forget(BackendServerId server) {
    medianValid = false;
    records.remove(server);
  }

  /**
   * Records an answer.
   *
   * @param took time from sending the request to the end of the answer
   * @param work amount of work, such as the number of output tokens; 1 if all calls are alike.
   *     Without it, a server that happened to get the long requests would look slow.
   */
  public void onAnswered(BackendServerId server, Duration took, double work) {
    Preconditions.require(work > 0, "work was %s, expected more than 0".formatted(work));
    Observations observations = observations(server);
    observations.consecutiveFailures = 0;
    observations.samples++;
    medianValid = false;
    double seconds = took.toNanos() / 1e9 / work;
    observations.overdueSeconds = 0;
    double gain = Math.max(MIN_GAIN, 1.0 / observations.samples);
    observations.meanSeconds += gain * (seconds - observations.meanSeconds);
  }

  /**
   * Records the age of a running request as a lower bound of the time that it will take.
   *
   * <p>Answers reveal a slow server only after the time by which it is slow; until then the server
   * gets its normal share of requests. An overdue request reveals it earlier.
   */
  public void onStillRunning(BackendServerId server, Duration age, double work) {
    Preconditions.require(work > 0, "work was %s, expected more than 0".formatted(work));
    observations(server).overdueSeconds = age.toNanos() / 1e9 / work;
  }

  /** Records a failure caused by the server. */
  public void onFailed(BackendServerId server) {
    observations(server).consecutiveFailures++;
  }

  /** Discards the failures of a server, and its ejection if failures were the cause. */
  public void forgetFailures(BackendServerId server) {
    Observations observations = observations(server);
    observations.consecutiveFailures = 0;
    if (observations.ejectedForFailures) {
      observations.ejectedForFailures = false;
      observations.ejections--;
      observations.ejectedUntil = Instant.MIN;
      observations.rampStart = Instant.MIN;
    }
  }

  /** Ejects servers that have become unhealthy, as far as the limit of ejected servers allows. */
  public void update(Instant now) {
    double poolMedian = medianSeconds();
    List<Map.Entry<BackendServerId, Observations>> unhealthy =
        records.entrySet().stream()
            .filter(entry -> !isEjected(entry.getValue(), now))
            .filter(entry -> isUnhealthy(entry.getValue(), poolMedian))
            .sorted(worstFirst())
            .toList();
    long ejectedCount =
        records.values().stream().filter(observations -> isEjected(observations, now)).count();
    long maxEjected = (long) Math.floor(records.size() * MAX_EJECTED_SHARE);
    for (Map.Entry<BackendServerId, Observations> entry : unhealthy) {
      if (ejectedCount >= maxEjected) {
        return;
      }
      eject(entry.getValue(), now);
      ejectedCount++;
    }
  }

  /** Returns whether the server may be given requests. */
  public boolean isEligible(BackendServerId server, Instant now) {
    Observations observations = records.get(server);
    return observations == null || !isEjected(observations, now);
  }

  /** Returns the servers that are ejected now. */
  public Set<BackendServerId> ejected(Instant now) {
    return records.entrySet().stream()
        .filter(entry -> isEjected(entry.getValue(), now))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Returns the fraction of its limit that a server may be given, from a tenth to 1.
   *
   * <p>A server that is new or returns has cold caches and looks idle. If it were given its whole
   * limit at once, it would get a batch of uncached requests that are all answered late.
   */
  public double rampShare(BackendServerId server, Instant now) {
    Observations observations = records.get(server);
    if (observations == null || observations.rampStart.equals(Instant.MIN)) {
      return 1;
    }
    double part =
        (double) Duration.between(observations.rampStart, now).toMillis() / ramp.toMillis();
    return Math.clamp(part, FIRST_RAMP_SHARE, 1);
  }

  /**
   * Returns the server's mean answer time relative to the pool's median; 1 while too little is
   * known.
   */
  public double slowness(BackendServerId server) {
    Observations observations = records.get(server);
    double poolMedian = medianSeconds();
    if (observations == null || poolMedian <= 0) {
      return 1;
    }
    boolean known = observations.samples >= MIN_WEIGHTING_SAMPLES || observations.ejections > 0;
    double answered =
        known && observations.meanSeconds > 0 ? observations.meanSeconds / poolMedian : 1;
    double overdue = observations.overdueSeconds / poolMedian;
    return Math.max(overdue >= SLOW_RATIO ? Math.max(answered, overdue) : answered, 0.1);
  }

  /**
   * Returns {@link #slowness} of a server that is so slow that it would be ejected, 1 for any
   * other; for callers that know by other means how fast each server is.
   */
  public double outlierSlowness(BackendServerId server) {
    double slowness = slowness(server);
    return slowness >= SLOW_RATIO ? slowness : 1;
  }

  private boolean isUnhealthy(Observations observations, double poolMedian) {
    boolean slow =
        observations.samples >= MIN_EJECTION_SAMPLES
            && poolMedian > 0
            && observations.meanSeconds >= SLOW_RATIO * poolMedian;
    return slow || observations.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
  }

  private void eject(Observations observations, Instant now) {
    long factor = 1L << Math.min(observations.ejections, 16);
    Duration ejection = Durations.times(firstEjection, factor);
    observations.ejections++;
    observations.ejectedForFailures = observations.consecutiveFailures >= MAX_CONSECUTIVE_FAILURES;
    observations.ejectedUntil =
        now.plus(ejection.compareTo(longestEjection) > 0 ? longestEjection : ejection);
    observations.rampStart = observations.ejectedUntil;
    // A returning server is judged by its new answers. Until the first one it is assumed to be as
    // slow as before; otherwise each return of a slow server would cause a batch of slow answers.
    observations.consecutiveFailures = 0;
    observations.samples = 0;
    medianValid = false;
    observations.overdueSeconds = 0;
  }

  /**
   * Returns the cached median; it is read once per server and request, and changes only once per
   * answer.
   */
  private double medianSeconds() {
    if (!medianValid) {
      median = computeMedian();
      medianValid = true;
    }
    return median;
  }

  private double computeMedian() {
    double[] means =
        records.values().stream()
            .filter(observations -> observations.samples >= MIN_EJECTION_SAMPLES)
            .mapToDouble(observations -> observations.meanSeconds)
            .sorted()
            .toArray();
    return means.length == 0 ? 0 : means[(means.length - 1) / 2];
  }

  private static Comparator<Map.Entry<BackendServerId, Observations>> worstFirst() {
    return Comparator.<Map.Entry<BackendServerId, Observations>>comparingInt(
            entry -> -entry.getValue().consecutiveFailures)
        .thenComparingDouble(entry -> -entry.getValue().meanSeconds)
        .thenComparing(Map.Entry::getKey);
  }

  private static boolean isEjected(Observations observations, Instant now) {
    return now.isBefore(observations.ejectedUntil);
  }

  private Observations observations(BackendServerId server) {
    return records.computeIfAbsent(server, id -> new Observations());
  }

  /** Returns the mean seconds per unit of work of each server, for dumps. */
  public Map<BackendServerId, Double> means() {
    Map<BackendServerId, Double> means = new TreeMap<>();
    records.forEach((id, observations) -> means.put(id, observations.meanSeconds));
    return means;
  }
}
