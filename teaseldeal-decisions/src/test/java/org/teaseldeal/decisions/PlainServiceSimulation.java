package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;
import org.teaseldeal.api.BackendServerId;

/**
 * Simulates callers of a service without engines in virtual time: 61 instances choose among three
 * servers of six slots and as many waiting places, and learn of each other's requests 80 to 160 ms
 * late. Callers of one customer reach few instances, and one customer sends 2.8 times its usual.
 */
final class PlainServiceSimulation {
  /** How an instance chooses a server. */
  enum Rule {
    /** The server that is presumed to answer soonest; none is full. */
    SOONEST,
    PLAIN_PLACEMENT
  }

  /** Counts what became of the requests of one rank. */
  static final class Tally {
    int sent;
    int onTime;
    int late;

    /** Requests that were refused before any server ran them. */
    int refused;

    double onTimeShare() {
      return (double) onTime / sent;
    }
  }

  private static final int INSTANCES = 61;
  private static final int SERVERS = 3;
  private static final int SLOTS = 6;
  private static final int WAITING_PLACES = 6;
  private static final int CUSTOMERS = 24;
  private static final int INSTANCES_PER_CUSTOMER = 6;
  private static final double HOT_CUSTOMER_FACTOR = 2.8;
  private static final double REPEATABLE_SHARE = 0.3;
  private static final long REPORT_INTERVAL = 80;
  private static final long REPORT_DELAY = 80;
  private static final long REPORT_MAX_AGE = 1000;
  private static final long TICK = 20;
  private static final long EXCLUSION = 100;
  private static final long NEVER = Long.MIN_VALUE;

  private record Event(long at, long sequence, Runnable action) {}

  private record Request(
      long id, String customer, int rank, boolean repeatable, long workMillis, long arrivedAt) {}

  private final class Server {
    private final BackendServerId id;
    private final Deque<Runnable> waiting = new ArrayDeque<>();
    private int running;

    Server(int index) {
      this.id = new BackendServerId("server-" + index);
    }

    /** Runs a request or lets it wait; returns false if there is no room for it. */
    boolean accept(Request request, Runnable onEnd) {
      if (running >= SLOTS && waiting.size() >= WAITING_PLACES) {
        return false;
      }
      waiting.add(
          () -> {
            running++;
            at(now + request.workMillis(), () -> end(onEnd));
          });
      startNext();
      return true;
    }

    private void end(Runnable onEnd) {
      running--;
      startNext();
      onEnd.run();
    }

    private void startNext() {
      while (running < SLOTS && !waiting.isEmpty()) {
        waiting.remove().run();
      }
    }
  }

  private final class Instance {
    private final PlainPlacement placement = new PlainPlacement(random);
    private final RoomQueue<Request> queue = new RoomQueue<>();
    private final int[] own = new int[SERVERS];
    private final long[] excludedUntil = new long[SERVERS];
    private int[] others = new int[SERVERS];
    private long reportedAt;

    void onReport(int[] reported) {
      others = reported;
      reportedAt = now;
    }

    void onArrival(Request request) {
      if (rule == Rule.SOONEST) {
        send(request, soonest(), true);
      } else if (queue.size() > 0) {
        enqueue(request);
      } else {
        choose(request)
            .ifPresentOrElse(server -> send(request, server, true), () -> enqueue(request));
      }
    }

    void sendQueued() {
      for (Request overdue : queue.overdue(instant(now))) {
        queue.remove(overdue);
        tally(overdue).refused++;
      }
      while (queue.size() > 0) {
        Request next = queue.peek().orElseThrow();
        Optional<Server> chosen = choose(next);
        if (chosen.isEmpty()) {
          return;
        }
        queue.onSent(next);
        send(next, chosen.get(), true);
      }
    }

    private void enqueue(Request request) {
      Instant latestStart =
          instant(request.arrivedAt() + deadlineMillis).minus(placement.usualDuration());
      Optional<Duration> tooLate =
          queue.offer(
              new RoomQueue.Entry<>(request, request.customer(), request.rank(), latestStart),
              placement.startsPerSecond(candidates(), INSTANCES),
              instant(now));
      if (tooLate.isPresent()) {
        tally(request).refused++;
      }
    }

    private Server soonest() {
      int[] presumed = presumedOthers();
      List<PromptPlacement.Candidate> included =
          IntStream.range(0, SERVERS)
              .filter(i -> excludedUntil[i] <= now)
              .mapToObj(
                  i ->
                      new PromptPlacement.Candidate(
                          servers.get(i).id, own[i] + presumed[i], 0, 0, true, 1))
              .toList();
      return PromptPlacement.choose(
              included, new PromptPlacement.Prompt("", Duration.ofMillis(aimMillis)), random)
          .map(id -> byId(id))
          .orElseGet(() -> servers.get(random.nextInt(SERVERS)));
    }

    private Optional<Server> choose(Request request) {
      return placement
          .choose(
              candidates(),
              new PlainPlacement.Fleet(Duration.ofMillis(now - reportedAt), INSTANCES),
              request.rank(),
              instant(now))
          .map(id -> byId(id));
    }

    private List<PlainPlacement.Candidate> candidates() {
      int[] presumed = presumedOthers();
      return IntStream.range(0, SERVERS)
          .mapToObj(
              i -> new PlainPlacement.Candidate(servers.get(i).id, SLOTS, own[i], presumed[i], 1))
          .toList();
    }

    private int[] presumedOthers() {
      return now - reportedAt < REPORT_MAX_AGE ? others : new int[SERVERS];
    }

    private void send(Request request, Server server, boolean mayRepeat) {
      int index = servers.indexOf(server);
      long sentAt = now;
      own[index]++;
      boolean accepted = server.accept(request, () -> onEnd(request, index, sentAt));
      if (accepted) {
        return;
      }
      own[index]--;
      rejections++;
      rejectionsWhileCutOff += isCutOff() ? 1 : 0;
      excludedUntil[index] = now + EXCLUSION;
      placement.onRejected(server.id, instant(now));
      if (!mayRepeat || !request.repeatable()) {
        tally(request).refused++;
      } else if (rule == Rule.SOONEST) {
        send(request, soonest(), false);
      } else {
        choose(request)
            .ifPresentOrElse(next -> send(request, next, false), () -> tally(request).refused++);
      }
    }

    private void onEnd(Request request, int index, long sentAt) {
      own[index]--;
      placement.onAnswered(Duration.ofMillis(now - sentAt));
      if (now - request.arrivedAt() <= aimMillis) {
        tally(request).onTime++;
      } else {
        tally(request).late++;
      }
      sendQueued();
    }
  }

  private final Rule rule;
  private final int workMillis;
  private final long aimMillis;
  private final long deadlineMillis;
  private final Random random;
  private final List<Server> servers = IntStream.range(0, SERVERS).mapToObj(Server::new).toList();
  private final List<Instance> instances = new ArrayList<>();
  private final List<Tally> tallies = List.of(new Tally(), new Tally());
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
  private long cutFrom = NEVER;
  private long cutUntil = NEVER;
  private long now;
  private long sequence;
  private int rejections;
  private int rejectionsWhileCutOff;

  /**
   * Creates a service whose requests take {@code workMillis} on average, which callers wait for at
   * most {@code deadlineMillis}.
   */
  PlainServiceSimulation(
      Rule rule, int workMillis, long aimMillis, long deadlineMillis, long seed) {
    this.rule = rule;
    this.workMillis = workMillis;
    this.aimMillis = aimMillis;
    this.deadlineMillis = deadlineMillis;
    this.random = new Random(seed);
    for (int i = 0; i < INSTANCES; i++) {
      instances.add(new Instance());
    }
  }

  /** Lets no instance hear of another one from {@code from} until {@code until}. */
  PlainServiceSimulation cutOff(Duration from, Duration until) {
    cutFrom = from.toMillis();
    cutUntil = until.toMillis();
    return this;
  }

  /** Simulates {@code duration} with a mean of {@code perSecond} requests. */
  PlainServiceSimulation run(Duration duration, double perSecond) {
    long end = duration.toMillis();
    scheduleArrivals(end, perSecond);
    for (Instance instance : instances) {
      for (long at = random.nextInt((int) REPORT_INTERVAL); at < end; at += REPORT_INTERVAL) {
        at(at, () -> report(instance));
      }
      for (long at = random.nextInt((int) TICK); at < end + deadlineMillis; at += TICK) {
        at(at, instance::sendQueued);
      }
    }
    while (!events.isEmpty()) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    return this;
  }

  private void scheduleArrivals(long end, double perSecond) {
    double weights = CUSTOMERS - 1 + HOT_CUSTOMER_FACTOR;
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * 1000 / perSecond;
      if (at >= end) {
        return;
      }
      int customer = (int) Math.max(0, random.nextDouble() * weights - HOT_CUSTOMER_FACTOR + 1);
      int instance =
          (customer * INSTANCES_PER_CUSTOMER + random.nextInt(INSTANCES_PER_CUSTOMER)) % INSTANCES;
      Request request =
          new Request(
              sequence++,
              "customer-" + customer,
              random.nextInt(2),
              random.nextDouble() < REPEATABLE_SHARE,
              Math.max(1, Math.round(workMillis * (0.5 + random.nextDouble()))),
              (long) at);
      tally(request).sent++;
      at((long) at, () -> instances.get(instance).onArrival(request));
    }
  }

  private void report(Instance receiver) {
    int[] reported = new int[SERVERS];
    for (Instance other : instances) {
      for (int i = 0; other != receiver && i < SERVERS; i++) {
        reported[i] += other.own[i];
      }
    }
    if (!isCutOff()) {
      at(now + REPORT_DELAY, () -> receiver.onReport(reported));
    }
  }

  private boolean isCutOff() {
    return now >= cutFrom && now < cutUntil;
  }

  /** The number of {@link #rejections} while no instance heard of another one. */
  int rejectionsWhileCutOff() {
    return rejectionsWhileCutOff;
  }

  /** The number of times that a server had no room for a request. */
  int rejections() {
    return rejections;
  }

  /** The outcomes of the requests of a rank, 0 or 1. */
  Tally rank(int rank) {
    return tallies.get(rank);
  }

  /** The number of requests that were not answered within the aim. */
  int missed() {
    return tallies.stream().mapToInt(tally -> tally.sent - tally.onTime).sum();
  }

  /** The number of requests that callers sent. */
  int sent() {
    return tallies.stream().mapToInt(tally -> tally.sent).sum();
  }

  private Tally tally(Request request) {
    return tallies.get(request.rank());
  }

  private Server byId(BackendServerId id) {
    return servers.stream().filter(server -> server.id.equals(id)).findFirst().orElseThrow();
  }

  private void at(long time, Runnable action) {
    events.add(new Event(time, sequence++, action));
  }

  private static Instant instant(long millis) {
    return Instant.ofEpochMilli(1_000_000 + millis);
  }
}
