package org.teaseldeal.model;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.teaseldeal.gateway.account.ClockReading;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.plan.CallerLimits;
import org.teaseldeal.gateway.plan.GatewayPlan;
import org.teaseldeal.gateway.plan.PlannedService;
import org.teaseldeal.gateway.plan.PrepaidCustomer;
import org.teaseldeal.gateway.plan.Route;
import org.teaseldeal.gateway.plan.RouteKind;
import org.teaseldeal.gateway.plan.WeightedService;

/**
 * Plays a scenario: a fleet of instances with callers, backend servers and the shared log, on one
 * thread and one virtual clock. The same scenario, size, seed and mechanisms give the same play.
 */
public final class ModelFleet {
  static final String ENGINES = "models";
  static final String SERVICES = "desk";

  /** From the start of the instances until callers come. */
  private static final Duration LEAD = Duration.ofSeconds(3);

  /** Answers that are under way at the end of the load are awaited. */
  private static final Duration TAIL = Duration.ofSeconds(4);

  /** Until an instance that ended, or a server that crashed, runs again. */
  private static final Duration RESTART = Duration.ofMillis(1_500);

  /** Until all instances have heard that a server is gone or there. */
  private static final Duration LIST_DELAY = Duration.ofMillis(1_000);

  private static final Duration CONFIGURATION_DELAY = Duration.ofMillis(200);

  private final Scenario scenario;
  private final long seed;
  private final Set<Mechanism> mechanisms;
  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final ModelNetwork network;
  private final ModelLog log;
  private final TokenMeter meter = new TokenMeter();
  private final Map<String, ModelServer> servers = new LinkedHashMap<>();
  private final Map<String, Instant> serverStarts = new HashMap<>();
  private final Map<String, ModelInstance> instances = new TreeMap<>();
  private final Map<String, Long> bootedAt = new HashMap<>();
  private final Map<String, ModelRequest> attempts = new HashMap<>();
  private final Map<String, Integer> runsOfOnce = new HashMap<>();
  private final Map<String, PlanOrder> planOrders = new HashMap<>();
  private final Map<String, PlayResult.Tally> tallies = new TreeMap<>();
  private final Map<String, Long> refusals = new TreeMap<>();
  private final List<String> broken = new ArrayList<>();
  private final LoadSource load;
  private final FaultPlayer faults;
  private Set<String> names = Set.of();
  private long epochs;
  private long planVersion = 1;

  private ModelFleet(Scenario scenario, long seed, Set<Mechanism> off) {
    this.scenario = scenario;
    this.seed = seed;
    this.mechanisms = EnumSet.allOf(Mechanism.class);
    this.mechanisms.removeAll(off);
    this.random = new SplittableRandom(seed);
    this.network = new ModelNetwork(time, scenario.links(), random.split());
    this.log = new ModelLog(time, network, scenario.log());
    this.load = new LoadSource(scenario, random.split());
    this.faults = new FaultPlayer(this, load, random.split());
  }

  /**
   * Plays {@code scenario} with {@code size} instances.
   *
   * @param off mechanisms that are switched off
   */
  public static PlayResult play(Scenario scenario, int size, long seed, Set<Mechanism> off) {
    Scenario scaled = size == scenario.instances() ? scenario : scenario.scaledTo(size);
    return new ModelFleet(scaled, seed, off).play();
  }

  private PlayResult play() {
    for (int i = 0; i < scenario.engines().count(); i++) {
      add(new ModelEngine("engine-" + i, time, scenario.engines(), meter));
    }
    for (int i = 0; i < scenario.services().count(); i++) {
      add(new ModelService("desk-" + i, time, scenario.services()));
    }
    List<String> all = new ArrayList<>();
    for (int i = 0; i < scenario.instances(); i++) {
      all.add("front-%03d".formatted(i));
    }
    names = Set.copyOf(all);
    all.forEach(network::addInstance);
    all.forEach(this::start);
    time.after(LEAD, this::nextArrival);
    scenario
        .faults()
        .forEach(fault -> time.after(LEAD.plus(fault.at()), () -> faults.begin(fault)));
    Duration end = LEAD.plus(scenario.duration());
    time.runUntil(end);
    load.end();
    time.runUntil(end.plus(TAIL));
    checkTotals();
    return result();
  }

  private void add(ModelServer server) {
    servers.put(server.name(), server);
    serverStarts.put(server.name(), time.instant());
  }

  private void start(String name) {
    bootedAt.putIfAbsent(name, 0L);
    ModelInstance instance = new ModelInstance(name, this, ++epochs);
    instances.put(name, instance);
    time.after(CONFIGURATION_DELAY, () -> instance.configure(plan()));
    planOrders.remove(name);
  }

  // What instances work with.

  VirtualTime time() {
    return time;
  }

  ModelNetwork network() {
    return network;
  }

  ModelLog log() {
    return log;
  }

  Set<String> names() {
    return names;
  }

  boolean has(Mechanism mechanism) {
    return mechanisms.contains(mechanism);
  }

  long nextSeed() {
    return random.nextLong();
  }

  List<ModelServer> servers() {
    return servers.values().stream().filter(server -> !server.down()).toList();
  }

  ModelServer server(String name) {
    ModelServer server = servers.get(name);
    if (server == null) {
      throw new IllegalArgumentException("no server is named " + name);
    }
    return server;
  }

  Instant startOf(ModelServer server) {
    return serverStarts.getOrDefault(server.name(), Instant.EPOCH);
  }

  int places(boolean engine) {
    return engine ? scenario.engines().places() : scenario.services().places();
  }

  /** All instances' names, in order. */
  List<String> instanceNames() {
    return List.copyOf(instances.keySet());
  }

  /** All servers' names, in order. */
  List<String> serverNames() {
    return List.copyOf(servers.keySet());
  }

  Optional<ModelInstance> running(String name) {
    return Optional.ofNullable(instances.get(name)).filter(ModelInstance::alive);
  }

  ClockReading machineClock(String name) {
    return new ClockReading(
        time.nanos() + bootedAt.getOrDefault(name, 0L), time.instant().toEpochMilli());
  }

  static byte[] event(int number) {
    return "id: %d\ndata: x\n\n".formatted(number).getBytes(StandardCharsets.UTF_8);
  }

  private GatewayPlan plan() {
    List<Route> routes =
        scenario.kinds().stream()
            .map(
                kind ->
                    new Route(
                        kind.name(),
                        ModelDialect.HOST,
                        ModelDialect.path(kind),
                        routeKind(kind),
                        false,
                        !kind.streamed(),
                        kind.deadline(),
                        kind.aim(),
                        kind.pauseAim(),
                        0,
                        kind.answer() == Scenario.Answer.REPEATABLE ? 2 : 1,
                        List.of(new WeightedService(kind.streamed() ? ENGINES : SERVICES, 1))))
            .toList();
    List<PrepaidCustomer> customers = new ArrayList<>();
    for (String customer : load.customers()) {
      customers.add(
          new PrepaidCustomer(
              customer,
              Set.of(customer),
              OptionalInt.empty(),
              OptionalLong.of(scenario.customers().prepaid())));
    }
    return new GatewayPlan(
        planVersion,
        routes,
        List.of(
            new PlannedService(ENGINES, 1_000, scenario.engines().tokensPerEvent()),
            new PlannedService(SERVICES, 1_000, 0)),
        customers,
        CallerLimits.untilPublished());
  }

  private static RouteKind routeKind(Scenario.Kind kind) {
    return switch (kind.answer()) {
      case STREAM -> RouteKind.STREAM;
      case ONCE -> RouteKind.AT_MOST_ONCE;
      case REPEATABLE -> RouteKind.IDEMPOTENT;
    };
  }

  // Callers.

  private void nextArrival() {
    load.nextPause()
        .ifPresent(
            pause -> {
              time.after(pause, this::nextArrival);
              new ModelCaller(this, load.next()).send();
            });
  }

  /** An instance that is ready, any. */
  Optional<ModelInstance> balance() {
    List<ModelInstance> ready = instances.values().stream().filter(ModelInstance::ready).toList();
    return ready.isEmpty()
        ? Optional.empty()
        : Optional.of(ready.get(random.nextInt(ready.size())));
  }

  void onAttempt(String id, ModelRequest request) {
    attempts.put(id, request);
  }

  ModelRequest requestOf(String attempt) {
    ModelRequest request = attempts.get(attempt);
    if (request == null) {
      throw new IllegalArgumentException("no attempt is named " + attempt);
    }
    return request;
  }

  void onDecided(ModelRequest request, ModelCaller.Outcome outcome) {
    Scenario.Kind kind = request.kind();
    double worth =
        switch (outcome) {
          case IN_TIME -> kind.worth();
          case LATE -> kind.lateWorth();
          case REFUSED, FAILED -> 0;
        };
    tallies.merge(
        kind.name(),
        new PlayResult.Tally(
            1,
            outcome == ModelCaller.Outcome.IN_TIME ? 1 : 0,
            outcome == ModelCaller.Outcome.LATE ? 1 : 0,
            outcome == ModelCaller.Outcome.REFUSED ? 1 : 0,
            outcome == ModelCaller.Outcome.FAILED ? 1 : 0,
            worth,
            kind.worth()),
        PlayResult.Tally::plus);
  }

  // Promises.

  /** A server begins to run an attempt. */
  void onRun(String attempt) {
    ModelRequest request = requestOf(attempt);
    if (request.kind().answer() == Scenario.Answer.ONCE
        && runsOfOnce.merge(attempt, 1, Integer::sum) > 1) {
      broken.add("attempt %s ran twice".formatted(attempt));
    }
  }

  void onEvent(String instance, GatewayEvent event) {
    if (event instanceof GatewayEvent.RequestEnded ended) {
      if (!ended.outcome().equals("answered")) {
        refusals.merge(ended.outcome(), 1L, Long::sum);
      }
      if (ended.plan() > planVersion) {
        broken.add("%s answered under plan %d, which isn't out".formatted(instance, ended.plan()));
      }
      long began = time.nanos() - ended.took().toNanos();
      if (ended.plan() > 0 && !planOrder(instance).add(began, ended.plan())) {
        broken.add("%s went back to plan %d".formatted(instance, ended.plan()));
      }
    }
  }

  private PlanOrder planOrder(String instance) {
    return planOrders.computeIfAbsent(instance, name -> new PlanOrder());
  }

  private void checkTotals() {
    long prepaid = scenario.customers().prepaid();
    for (String customer : load.customers()) {
      long used = meter.of(customer);
      if (used > prepaid) {
        broken.add("%s used %d tokens of %d".formatted(customer, used, prepaid));
      }
    }
  }

  // What happens to it.

  /** An instance loses power, and starts again. */
  void power(String name) {
    running(name).ifPresent(ModelInstance::kill);
    bootedAt.merge(name, 1_000_000_000_000L, Long::sum);
    time.after(RESTART, () -> start(name));
  }

  /** An instance has stopped as it was told. */
  void onStopped(String name) {
    time.after(RESTART, () -> start(name));
  }

  /** A server crashes, and starts again with nothing. */
  void crash(ModelServer server, Duration lasting) {
    server.crash(true);
    time.after(LIST_DELAY, () -> list(server, false));
    time.after(
        lasting,
        () -> {
          server.crash(false);
          serverStarts.put(server.name(), time.instant());
          time.after(LIST_DELAY, () -> list(server, true));
        });
  }

  private void list(ModelServer server, boolean present) {
    if (present != server.down()) {
      instances.values().stream()
          .filter(ModelInstance::alive)
          .forEach(instance -> instance.list(server, present));
    }
  }

  /** A configuration with the next version comes out. */
  void publish() {
    planVersion++;
    GatewayPlan next = plan();
    for (ModelInstance instance : instances.values()) {
      long delay = random.nextLong(CONFIGURATION_DELAY.toNanos());
      time.afterNanos(delay, () -> instance.configure(next));
    }
  }

  // Result.

  private PlayResult result() {
    double seconds = scenario.duration().plus(LEAD).plus(TAIL).toMillis() / 1e3;
    double all = scenario.instances() * seconds;
    double messages = 0;
    double octets = 0;
    for (String name : names) {
      messages += network.control(name).messages;
      octets += network.control(name).octets;
    }
    long shared =
        servers.values().stream()
            .filter(ModelEngine.class::isInstance)
            .mapToLong(server -> ((ModelEngine) server).sharedTokensRead())
            .sum();
    return new PlayResult(
        scenario.name(),
        scenario.instances(),
        seed,
        tallies,
        refusals,
        new PlayResult.Cost(
            messages / all, octets / all, log.appends() / all, log.reads() / all, shared),
        broken);
  }
}
