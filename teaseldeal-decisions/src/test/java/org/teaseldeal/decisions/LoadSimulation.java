package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.api.CustomerId;
import org.teaseldeal.api.TeamId;

/**
 * Simulates one load against several instances and servers in virtual time, with the decisions
 * under test or with a baseline in the instances.
 */
final class LoadSimulation {
  /** The policy that the instances follow. */
  enum Policy {
    ROUND_ROBIN_UNBOUNDED,
    LEAST_OUTSTANDING_UNBOUNDED,
    DECISIONS
  }

  /** One request of the load. */
  record Arrival(long atMicros, String customer, long workMicros, long timeoutMicros) {}

  /** Counts the outcomes of the requests of one customer, or of one second. */
  static final class Tally {
    int sent;
    int inTime;
    int late;
    int refused;
    final List<Long> tookMicros = new ArrayList<>();

    double inTimeShare() {
      return sent == 0 ? 1 : (double) inTime / sent;
    }

    long percentileMillis(double percentile) {
      List<Long> sorted = tookMicros.stream().sorted().toList();
      return sorted.isEmpty()
          ? 0
          : sorted.get((int) Math.min(sorted.size() - 1, percentile * sorted.size())) / 1000;
    }
  }

  private static final int HEARTBEAT_MICROS = 100_000;
  private static final TeamId TEAM = new TeamId("team");

  private final class Server {
    final BackendServerId id;
    final double slowFactor;
    final Deque<Job> waiting = new ArrayDeque<>();
    int running;

    Server(int index, double slowFactor) {
      this.id = new BackendServerId("server-%02d".formatted(index));
      this.slowFactor = slowFactor;
    }

    void take(Job job) {
      waiting.add(job);
      startNext();
    }

    void startNext() {
      while (running < slotsPerServer && !waiting.isEmpty()) {
        Job job = waiting.remove();
        running++;
        at(now + (long) (job.arrival.workMicros() * slowFactor), () -> end(job));
      }
    }

    void end(Job job) {
      running--;
      startNext();
      job.instance.onEnd(this, job);
    }
  }

  private static final class Job {
    final Arrival arrival;
    final Instance instance;
    long startedMicros;
    @Nullable Server server;

    Job(Arrival arrival, Instance instance) {
      this.arrival = arrival;
      this.instance = instance;
    }
  }

  private final class Instance {
    final AdmissionQueue<Job> queue = new AdmissionQueue<>();
    final DrainRate drain = new DrainRate(Duration.ofMillis(100));
    final ServerHealth health =
        new ServerHealth(Duration.ofSeconds(2), Duration.ofSeconds(30), Duration.ofSeconds(2));
    final Map<BackendServerId, Integer> own = new HashMap<>();
    final Map<BackendServerId, Integer> othersAtLastReport = new HashMap<>();
    final Map<BackendServerId, Integer> ownAtLastReport = new HashMap<>();
    final Set<Job> running = new LinkedHashSet<>();
    int inFlight;

    Instance() {
      Set<BackendServerId> ids = new TreeSet<>();
      servers.forEach(server -> ids.add(server.id));
      health.onListed(ids, instant(0), true);
    }

    void onArrival(Arrival arrival) {
      Job job = new Job(arrival, this);
      if (policy != Policy.DECISIONS) {
        start(job, baseline());
        return;
      }
      health.update(instant(now));
      if (queue.size() == 0 && tryStart(job)) {
        return;
      }
      AdmissionQueue.Verdict verdict =
          queue.offer(
              new AdmissionQueue.Entry<>(
                  job,
                  new CustomerId(TEAM, arrival.customer()),
                  1,
                  1,
                  arrival.workMicros() / 1e5,
                  instant(latestStart(arrival)),
                  instant(now)),
              drain.startsPerSecond(inFlight),
              instant(now));
      if (verdict instanceof AdmissionQueue.Verdict.TooLate) {
        tally(arrival).refused++;
      }
      pump();
    }

    /**
     * Returns the latest start; a request that starts with less time left than most requests take
     * would end late.
     */
    private long latestStart(Arrival arrival) {
      return arrival.atMicros() + arrival.timeoutMicros() - drain.usualMaximum().toNanos() / 1000;
    }

    private Server baseline() {
      List<ServerView> views = views();
      PlacementPolicy placement =
          policy == Policy.ROUND_ROBIN_UNBOUNDED
              ? PlacementPolicy.ROUND_ROBIN
              : PlacementPolicy.LEAST_OUTSTANDING;
      return placement
          .choose(views, turn++, random)
          .map(view -> byId(view.id()))
          .orElseGet(() -> servers.get((int) (turn % servers.size())));
    }

    private boolean tryStart(Job job) {
      return PlacementPolicy.TWO_CHOICES
          .choose(views(), turn++, random)
          .map(
              view -> {
                start(job, byId(view.id()));
                return true;
              })
          .orElse(false);
    }

    private List<ServerView> views() {
      return servers.stream().map(this::view).toList();
    }

    private ServerView view(Server server) {
      int ownRequests = own.getOrDefault(server.id, 0);
      int others = othersAtLastReport.getOrDefault(server.id, 0);
      if (policy != Policy.DECISIONS) {
        return new ServerView(server.id, ownRequests, others, slotsPerServer, true);
      }
      SharedLimit limit =
          new SharedLimit(
              slotsPerServer, ownRequests, ownAtLastReport.getOrDefault(server.id, 0), others);
      boolean open =
          health.isEligible(server.id, instant(now))
              && limit.hasRoom(inFlight, slotsPerServer * servers.size(), instances.size());
      return new ServerView(
          server.id, ownRequests, others, slotsPerServer, health.slowness(server.id), open, true);
    }

    private void start(Job job, Server server) {
      job.startedMicros = now;
      job.server = server;
      running.add(job);
      inFlight++;
      own.merge(server.id, 1, Integer::sum);
      server.take(job);
    }

    private void pump() {
      expire();
      while (queue.size() > 0 && anyRoom()) {
        Job job = queue.poll().orElseThrow().item();
        if (!tryStart(job)) {
          throw new IllegalStateException("room was seen, expected a start");
        }
      }
    }

    private boolean anyRoom() {
      return views().stream().anyMatch(ServerView::open);
    }

    private void expire() {
      while (queue
          .pollExpired(instant(now))
          .map(entry -> tally(entry.item().arrival))
          .isPresent()) {
        expired++;
      }
    }

    void onEnd(Server server, Job job) {
      inFlight--;
      running.remove(job);
      own.merge(server.id, -1, Integer::sum);
      Duration took = Duration.ofNanos(1000 * (now - job.startedMicros));
      drain.onFinished(took);
      health.onAnswered(server.id, took, job.arrival.workMicros() / 1e5);
      record(job, server);
      pump();
    }

    private void reportRunning() {
      Set<Server> seen = new HashSet<>();
      for (Job job : running) {
        Server server = Objects.requireNonNull(job.server);
        if (seen.add(server)) {
          Duration age = Duration.ofNanos(1000 * (now - job.startedMicros));
          health.onStillRunning(server.id, age, job.arrival.workMicros() / 1e5);
        }
      }
    }

    void onHeartbeat() {
      ownAtLastReport.clear();
      ownAtLastReport.putAll(own);
      for (Server server : servers) {
        int others =
            instances.stream()
                .filter(other -> other != this)
                .mapToInt(other -> other.own.getOrDefault(server.id, 0))
                .sum();
        othersAtLastReport.put(server.id, others);
      }
      if (policy == Policy.DECISIONS) {
        reportRunning();
        pump();
      }
    }
  }

  private record Event(long atMicros, long sequence, Runnable action) {}

  private final Policy policy;
  private final int slotsPerServer;
  private final SplittableRandom random = new SplittableRandom(11);
  private final List<Server> servers;
  private final List<Instance> instances = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros != b.atMicros
                  ? Long.compare(a.atMicros, b.atMicros)
                  : Long.compare(a.sequence, b.sequence));
  private final Map<String, Tally> byCustomer = new TreeMap<>();
  private final Map<Long, Tally> bySecond = new TreeMap<>();
  private final Map<BackendServerId, Integer> servedBy = new TreeMap<>();
  private long now;
  private long sequence;
  private long turn;
  private int expired;

  LoadSimulation(
      Policy policy, int instances, int servers, int slotsPerServer, Map<Integer, Double> slow) {
    this.policy = policy;
    this.slotsPerServer = slotsPerServer;
    this.servers =
        IntStream.range(0, servers)
            .mapToObj(index -> new Server(index, slow.getOrDefault(index, 1.0)))
            .toList();
    for (int i = 0; i < instances; i++) {
      this.instances.add(new Instance());
    }
  }

  /** Simulates the load to its end. */
  LoadSimulation simulate(List<Arrival> arrivals) {
    long end = 0;
    for (Arrival arrival : arrivals) {
      Instance instance = instances.get(random.nextInt(instances.size()));
      tally(arrival).sent++;
      at(arrival.atMicros(), () -> instance.onArrival(arrival));
      end = Math.max(end, arrival.atMicros() + arrival.timeoutMicros());
    }
    for (long beat = HEARTBEAT_MICROS; beat < end; beat += HEARTBEAT_MICROS) {
      at(beat, () -> instances.forEach(Instance::onHeartbeat));
    }
    while (!events.isEmpty()) {
      Event event = events.remove();
      now = event.atMicros;
      event.action.run();
    }
    return this;
  }

  Tally customer(String name) {
    return byCustomer.getOrDefault(name, new Tally());
  }

  Tally all() {
    return sum(byCustomer.values());
  }

  Tally second(long second) {
    return bySecond.getOrDefault(second, new Tally());
  }

  double servedShare(int server) {
    double all = servedBy.values().stream().mapToInt(Integer::intValue).sum();
    return servedBy.getOrDefault(servers.get(server).id, 0) / all;
  }

  private static Tally sum(Iterable<Tally> tallies) {
    Tally sum = new Tally();
    for (Tally tally : tallies) {
      sum.sent += tally.sent;
      sum.inTime += tally.inTime;
      sum.late += tally.late;
      sum.refused += tally.refused;
      sum.tookMicros.addAll(tally.tookMicros);
    }
    return sum;
  }

  private void record(Job job, Server server) {
    long took = now - job.arrival.atMicros();
    boolean inTime = took <= job.arrival.timeoutMicros();
    servedBy.merge(server.id, 1, Integer::sum);
    for (Tally tally : List.of(tally(job.arrival), secondOf(job.arrival))) {
      tally.tookMicros.add(took);
      tally.inTime += inTime ? 1 : 0;
      tally.late += inTime ? 0 : 1;
    }
  }

  private Tally tally(Arrival arrival) {
    return byCustomer.computeIfAbsent(arrival.customer(), name -> new Tally());
  }

  private Tally secondOf(Arrival arrival) {
    return bySecond.computeIfAbsent(arrival.atMicros() / 1_000_000, second -> new Tally());
  }

  private Server byId(BackendServerId id) {
    return servers.stream().filter(server -> server.id.equals(id)).findFirst().orElseThrow();
  }

  private void at(long micros, Runnable action) {
    events.add(new Event(micros, sequence++, action));
  }

  private static Instant instant(long micros) {
    return Instant.EPOCH.plusNanos(1000 * micros);
  }
}
