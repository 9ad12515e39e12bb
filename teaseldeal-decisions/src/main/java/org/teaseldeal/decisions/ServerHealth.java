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
import org.teaseldeal.api.Preconditions;

/**
 * Which servers of a pool are left out for a while, and how fast they come back.
 *
 * <p>Load pattern: one server among many that fails each request or is many times slower. A failing
 * server answers fast, so it looks idle and draws ever more requests; a slow one holds the requests
 * that happen to be sent there. Without a floor the opposite harm comes: an overload makes all
 * servers slow, all are left out, and the rest break down.
 *
 * <p>Thresholds: five failures in a row are beyond chance at an error rate of a few percent (0.05⁵
 * is one in three million). Slow means four times the pool's median over at least twenty answers:
 * queueing alone spreads means by two to three. The floor leaves two thirds of the servers in, so
 * that what is left carries at most half as much again.
 */
public final class ServerHealth {
  private static final int FAILURES_IN_A_ROW = 5;
  private static final double SLOW_RATIO = 4;
  private static final int SLOW_SAMPLES = 8;

  /** Weighing is a matter of degree and soon corrected, so it may start on less. */
  private static final int WEIGHED_SAMPLES = 2;

  private static final double MAX_EJECTED_SHARE = 1.0 / 3;
  private static final double GAIN = 0.1;
  private static final double FIRST_RAMP_SHARE = 0.1;

  /** What was seen of one server. */
  private static final class Record {
    private int failuresInRow;
    private int samples;
    private double meanSeconds;
    private double overdueSeconds;
    private int ejections;
    private Instant ejectedUntil = Instant.MIN;
    private Instant rampFrom = Instant.MIN;
  }

  private final Duration firstEjection;
  private final Duration longestEjection;
  private final Duration ramp;
  private final Map<BackendServerId, Record> records = new HashMap<>();
  private double median;
  private boolean medianKnown;

  /** Creates a record of servers that are left out for {@code firstEjection}, then longer. */
  public ServerHealth(Duration firstEjection, Duration longestEjection, Duration ramp) {
    Preconditions.requirePositive(firstEjection.toMillis(), "first ejection");
    Preconditions.requirePositive(ramp.toMillis(), "ramp");
    this.firstEjection = firstEjection;
    this.longestEjection = longestEjection;
    this.ramp = ramp;
  }

  /** Starts the ramp of servers not seen before, and forgets those not listed any more. */
  public void onListed(Set<BackendServerId> listed, Instant now, boolean firstList) {
    medianKnown = false;
    records.keySet().retainAll(listed);
    for (BackendServerId server : listed) {
      records.computeIfAbsent(
          server,
          id -> {
            Record record = new Record();
            // At the instance's own start all servers are new to it, but none is cold.
            record.rampFrom = firstList ? Instant.MIN : now;
            return record;
          });
    }
  }

  /** Forgets a server whose process is another from now on; the next list starts its ramp. */
  public void forget(BackendServerId server) {
    medianKnown = false;
    records.remove(server);
  }

  /**
   * Counts an answer.
   *
   * @param work how much work it was, such as output tokens; 1 where calls are alike. Without it, a
   *     server that happened to get the long requests would look slow.
   */
  public void onAnswered(BackendServerId server, Duration took, double work) {
    Preconditions.require(work > 0, "work was %s, expected more than 0".formatted(work));
    Record record = record(server);
    record.failuresInRow = 0;
    record.samples++;
    medianKnown = false;
    double seconds = took.toNanos() / 1e9 / work;
    record.overdueSeconds = 0;
    double gain = Math.max(GAIN, 1.0 / record.samples);
    record.meanSeconds += gain * (seconds - record.meanSeconds);
  }

  /**
   * Takes the age of a request that still runs as a lower bound of what it will take.
   *
   * <p>Answers alone tell of a slow server only after the time that it is slow by; until then it is
   * sent its share. A request that is overdue tells sooner.
   */
  public void onStillRunning(BackendServerId server, Duration age, double work) {
    Preconditions.require(work > 0, "work was %s, expected more than 0".formatted(work));
    record(server).overdueSeconds = age.toNanos() / 1e9 / work;
  }

  /** Counts a failure that is the server's. */
  public void onFailed(BackendServerId server) {
    record(server).failuresInRow++;
  }

  /** Leaves out servers that have become unfit, as far as the floor allows. */
  public void update(Instant now) {
    double present = medianSeconds();
    List<Map.Entry<BackendServerId, Record>> unfit =
        records.entrySet().stream()
            .filter(entry -> !isOut(entry.getValue(), now))
            .filter(entry -> unfit(entry.getValue(), present))
            .sorted(worstFirst())
            .toList();
    long out = records.values().stream().filter(record -> isOut(record, now)).count();
    long mayBeOut = (long) Math.floor(records.size() * MAX_EJECTED_SHARE);
    for (Map.Entry<BackendServerId, Record> entry : unfit) {
      if (out >= mayBeOut) {
        return;
      }
      eject(entry.getValue(), now);
      out++;
    }
  }

  /** Whether the server may be given requests. */
  public boolean isIn(BackendServerId server, Instant now) {
    Record record = records.get(server);
    return record == null || !isOut(record, now);
  }

  /** The servers that are left out now. */
  public Set<BackendServerId> ejected(Instant now) {
    return records.entrySet().stream()
        .filter(entry -> isOut(entry.getValue(), now))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * The part of its limit that a server may be given, from a tenth to all of it.
   *
   * <p>A server that is new or comes back has cold caches and looks idle; given its whole limit at
   * once, it gets a batch of cold work that all ends late.
   */
  public double rampShare(BackendServerId server, Instant now) {
    Record record = records.get(server);
    if (record == null || record.rampFrom.equals(Instant.MIN)) {
      return 1;
    }
    double part = (double) Duration.between(record.rampFrom, now).toMillis() / ramp.toMillis();
    return Math.clamp(part, FIRST_RAMP_SHARE, 1);
  }

  /**
   * The server's mean time to answer relative to the pool's median; 1 while too little is known.
   */
  public double slowness(BackendServerId server) {
    Record record = records.get(server);
    double present = medianSeconds();
    if (record == null || present <= 0) {
      return 1;
    }
    boolean known = record.samples >= WEIGHED_SAMPLES || record.ejections > 0;
    double answered = known && record.meanSeconds > 0 ? record.meanSeconds / present : 1;
    double overdue = record.overdueSeconds / present;
    return Math.max(overdue >= SLOW_RATIO ? Math.max(answered, overdue) : answered, 0.1);
  }

  private boolean unfit(Record record, double present) {
    boolean slow =
        record.samples >= SLOW_SAMPLES && present > 0 && record.meanSeconds >= SLOW_RATIO * present;
    return slow || record.failuresInRow >= FAILURES_IN_A_ROW;
  }

  private void eject(Record record, Instant now) {
    long factor = 1L << Math.min(record.ejections, 16);
    Duration out = firstEjection.multipliedBy(factor);
    record.ejections++;
    record.ejectedUntil = now.plus(out.compareTo(longestEjection) > 0 ? longestEjection : out);
    record.rampFrom = record.ejectedUntil;
    // It is judged anew when it comes back, by what it does then; until its first answer it is
    // taken to be as slow as it was, or each return would cost a batch of slow answers.
    record.failuresInRow = 0;
    record.samples = 0;
    medianKnown = false;
    record.overdueSeconds = 0;
  }

  /** The median is asked for once a server and request, and changes once an answer. */
  private double medianSeconds() {
    if (!medianKnown) {
      median = computeMedian();
      medianKnown = true;
    }
    return median;
  }

  private double computeMedian() {
    double[] means =
        records.values().stream()
            .filter(record -> record.samples >= SLOW_SAMPLES)
            .mapToDouble(record -> record.meanSeconds)
            .sorted()
            .toArray();
    return means.length == 0 ? 0 : means[(means.length - 1) / 2];
  }

  private static Comparator<Map.Entry<BackendServerId, Record>> worstFirst() {
    return Comparator.<Map.Entry<BackendServerId, Record>>comparingInt(
            entry -> -entry.getValue().failuresInRow)
        .thenComparingDouble(entry -> -entry.getValue().meanSeconds)
        .thenComparing(Map.Entry::getKey);
  }

  private static boolean isOut(Record record, Instant now) {
    return now.isBefore(record.ejectedUntil);
  }

  private Record record(BackendServerId server) {
    return records.computeIfAbsent(server, id -> new Record());
  }

  /** Mean seconds of each server with enough answers, for dumps. */
  public Map<BackendServerId, Double> means() {
    Map<BackendServerId, Double> means = new TreeMap<>();
    records.forEach((id, record) -> means.put(id, record.meanSeconds));
    return means;
  }
}
