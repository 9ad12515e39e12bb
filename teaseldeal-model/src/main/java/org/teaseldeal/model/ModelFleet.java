package org.teaseldeal.model;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;
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
 * Simulates a scenario: a fleet of instances with callers, backend servers and the shared log, on
 * one thread and one virtual clock. The same scenario, size, seed and mechanisms give the same
 * result.
 */
public final class ModelFleet {
  static final String ENGINE_SERVICE = "models";
  static final String PLAIN_SERVICE = "desk";

  /** Time between the start of the instances and the first request. */
  private static final Duration WARM_UP = Duration.ofSeconds(3);

  /** Time after the end of the load in which requests in flight can complete. */
  private static final Duration DRAIN_TIME = Duration.ofSeconds(4);

  /** Time until an instance whose process ended starts again. */
  private static final Duration RESTART_DELAY = Duration.ofMillis(1_500);

  /** Time until the instances' server lists show that a server went down or came up. */
  private static final Duration LISTING_DELAY = Duration.ofMillis(1_000);

  /** Time after a disturbance until an instance counts as in touch again. */
  private static final Duration STABILISATION_TIME = Duration.ofSeconds(3);

  private static final Duration MAX_PLAN_DELAY = Duration.ofMillis(200);

  private final Scenario scenario;
  private final long seed;
  private final Set<Mechanism> enabledMechanisms;
  private final VirtualTime time = new VirtualTime();
  private final SplittableRandom random;
  private final ModelNetwork network;
  private final ModelLog log;

  /** A second topic of the log, for what concerns the fleet. */
  private final ModelLog fleetTopic;

  private final TokenMeter meter = new TokenMeter();
  private final Map<String, ModelServer> servers = new LinkedHashMap<>();
  private final Map<String, Instant> serverStarts = new HashMap<>();
  private final Map<String, Integer> versions = new HashMap<>();
  private final Map<String, Long> startedAtNanos = new HashMap<>();
  private final StreamCheck streamCheck = new StreamCheck();
  private final CrashingPartCheck crashingPartCheck;
  private final SkewCheck skewCheck;
  private final RateLimitCheck limitCheck;
  private final Map<String, Double> serverLimits = new HashMap<>();
  private final StatementCheck statementCheck;
  private final Set<String> leavingServers = new HashSet<>();
  private final Map<String, Long> frozenUntilNanos = new HashMap<>();
  private final Map<String, Duration> pausesByServer = new HashMap<>();
  private final Map<String, ModelInstance> instances = new TreeMap<>();
  private final Map<String, Long> steadyClockOffsetsNanos = new HashMap<>();
  private final Map<String, ModelRequest> attempts = new HashMap<>();
  private final Map<String, Long> attemptSentAtNanos = new HashMap<>();
  private final Map<String, Integer> runsOfAtMostOnceAttempts = new HashMap<>();
  private final Map<String, PlanOrderCheck> planOrders = new HashMap<>();
  private final Map<String, SimulationResult.Tally> tallies = new TreeMap<>();
  private final Map<String, Long> refusals = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();
  private final LoadGenerator load;
  private final FaultInjector faults;
  private Set<String> memberNames = Set.of();
  private long lastEpoch;
  private long planVersion = 1;
  private double skewedShare;

  private ModelFleet(Scenario scenario, long seed, Set<Mechanism> disabled) {
    this.scenario = scenario;
    this.seed = seed;
    this.enabledMechanisms = EnumSet.allOf(Mechanism.class);
    this.enabledMechanisms.removeAll(disabled);
    this.random = new SplittableRandom(seed);
    this.crashingPartCheck =
        new CrashingPartCheck(time, scenario.kinds().getFirst().name(), STABILISATION_TIME);
    this.skewCheck = new SkewCheck(time, STABILISATION_TIME);
    this.limitCheck = new RateLimitCheck(time, STABILISATION_TIME);
    this.statementCheck = new StatementCheck(time);
    this.network = new ModelNetwork(time, scenario.links(), random.split());
    this.log = new ModelLog(time, network, scenario.log());
    this.fleetTopic = new ModelLog(time, network, scenario.log());
    this.load = new LoadGenerator(scenario, random.split());
    this.faults = new FaultInjector(this, load, random.split());
  }

  /**
   * Simulates {@code scenario} with {@code size} instances.
   *
   * @param disabled mechanisms that are switched off
   */
  public static SimulationResult simulate(
      Scenario scenario, int size, long seed, Set<Mechanism> disabled) {
    Scenario scaled = size == scenario.instances() ? scenario : scenario.scaledTo(size);
    return new ModelFleet(scaled, seed, disabled).simulate();
  }

  private SimulationResult simulate() {
    for (int i = 0; i < scenario.engines().count(); i++) {
      addServer(
          new ModelEngine(
              "engine-" + i,
              time,
              scenario.engines(),
              scenario.engines().speeds().of(i),
              meter,
              this::onCrashedByPart));
      versions.put("engine-" + i, i % scenario.engines().versions());
    }
    for (int i = 0; i < scenario.services().count(); i++) {
      addServer(new ModelService("desk-" + i, time, scenario.services()));
    }
    List<String> all = new ArrayList<>();
    for (int i = 0; i < scenario.instances(); i++) {
      all.add("front-%03d".formatted(i));
    }
    memberNames = Set.copyOf(all);
    all.forEach(network::addLink);
    all.forEach(this::startInstance);
    time.schedule(WARM_UP, this::scheduleNextRequest);
    scenario
        .faults()
        .forEach(fault -> time.schedule(WARM_UP.plus(fault.at()), () -> faults.inject(fault)));
    Duration end = WARM_UP.plus(scenario.duration());
    time.runUntil(end);
    load.stop();
    time.runUntil(end.plus(DRAIN_TIME));
    checkPrepaidTotals();
    violations.addAll(streamCheck.violations());
    violations.addAll(crashingPartCheck.violations());
    violations.addAll(skewCheck.violations());
    violations.addAll(limitCheck.violations());
    violations.addAll(statementCheck.violations());
    return result();
  }

  private void addServer(ModelServer server) {
    servers.put(server.name(), server);
    serverStarts.put(server.name(), time.instant());
  }

  private void startInstance(String name) {
    steadyClockOffsetsNanos.putIfAbsent(name, 0L);
    ModelInstance instance = new ModelInstance(name, this, ++lastEpoch);
    instances.put(name, instance);
    startedAtNanos.put(name, time.elapsedNanos());
    time.schedule(MAX_PLAN_DELAY, () -> instance.applyPlan(plan()));
    planOrders.remove(name);
    limitCheck.onInstanceStarted(name);
    statementCheck.onInstanceStarted(name);
  }

  // Accessors for instances, callers and the fault injector.

  VirtualTime time() {
    return time;
  }

  ModelNetwork network() {
    return network;
  }

  ModelLog log() {
    return log;
  }

  ModelLog fleetTopic() {
    return fleetTopic;
  }

  /** Sets whether the log answers no call on any topic. */
  void setLogDown(boolean down) {
    log.setDown(down);
    fleetTopic.setDown(down);
  }

  Set<String> memberNames() {
    return memberNames;
  }

  boolean isEnabled(Mechanism mechanism) {
    return enabledMechanisms.contains(mechanism);
  }

  long nextSeed() {
    return random.nextLong();
  }

  List<ModelServer> runningServers() {
    return servers.values().stream().filter(server -> !server.isDown()).toList();
  }

  ModelServer server(String name) {
    ModelServer server = servers.get(name);
    if (server == null) {
      throw new IllegalArgumentException("no server is named " + name);
    }
    return server;
  }

  Instant startTimeOf(ModelServer server) {
    return serverStarts.getOrDefault(server.name(), Instant.EPOCH);
  }

  int maxConcurrentRequests(boolean engine) {
    return engine
        ? scenario.engines().maxConcurrentRequests()
        : scenario.services().maxConcurrentRequests();
  }

  /** Returns the names of all instances, in ascending order. */
  List<String> instanceNames() {
    return List.copyOf(instances.keySet());
  }

  /** Returns the names of all servers, in the order of their creation. */
  List<String> serverNames() {
    return List.copyOf(servers.keySet());
  }

  Optional<ModelInstance> runningInstance(String name) {
    return Optional.ofNullable(instances.get(name)).filter(ModelInstance::alive);
  }

  ClockReading clockReading(String name) {
    return new ClockReading(
        time.elapsedNanos() + steadyClockOffsetsNanos.getOrDefault(name, 0L),
        time.instant().toEpochMilli());
  }

  /** Returns an event of a stream as an engine of a software version writes it. */
  static byte[] eventFrame(int number, String version) {
    return "id: %d\ndata: %s\n\n".formatted(number, version).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the software version of the engine that wrote an event. */
  static String versionIn(byte[] event) {
    String text = new String(event, StandardCharsets.UTF_8);
    return text.substring(text.indexOf("data: ") + "data: ".length()).strip();
  }

  /** Returns the software version of a server. */
  String versionOf(ModelServer server) {
    return "v" + versions.getOrDefault(server.name(), 0);
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
                        kind.resumable(),
                        !kind.streamed(),
                        kind.deadline(),
                        kind.aim(),
                        kind.pauseAim(),
                        0,
                        kind.answer() == Scenario.Answer.REPEATABLE || kind.resumable() ? 2 : 1,
                        List.of(
                            new WeightedService(
                                kind.streamed() ? ENGINE_SERVICE : PLAIN_SERVICE, 1))))
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
            new PlannedService(ENGINE_SERVICE, 1_000, scenario.engines().tokensPerEvent()),
            new PlannedService(PLAIN_SERVICE, 1_000, 0)),
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

  private void scheduleNextRequest() {
    load.nextInterarrivalTime()
        .ifPresent(
            interarrivalTime -> {
              time.schedule(interarrivalTime, this::scheduleNextRequest);
              new ModelCaller(this, load.nextRequest()).send();
            });
  }

  /** Sends a caller's request with a crashing part. */
  void sendCrashingRequest(CrashingPart part) {
    crashingPartCheck.onRequestSent(part);
    new ModelCaller(this, load.crashingRequest(part)).send();
  }

  /** Sends a share of the attempts from now on to one instance. */
  void setSkew(double share) {
    skewedShare = share;
    if (share > 0) {
      skewCheck.onBegun();
    } else {
      skewCheck.onEnded();
    }
  }

  /** Returns a random instance among those that are ready, as a load balancer would. */
  Optional<ModelInstance> randomReadyInstance() {
    List<ModelInstance> ready = instances.values().stream().filter(ModelInstance::ready).toList();
    if (skewedShare > 0 && !ready.isEmpty() && random.nextDouble() < skewedShare) {
      return Optional.of(ready.getFirst());
    }
    return ready.isEmpty()
        ? Optional.empty()
        : Optional.of(ready.get(random.nextInt(ready.size())));
  }

  void registerAttempt(String id, ModelRequest request) {
    attempts.put(id, request);
    attemptSentAtNanos.put(id, time.elapsedNanos());
  }

  ModelRequest requestOf(String attempt) {
    ModelRequest request = attempts.get(attempt);
    if (request == null) {
      throw new IllegalArgumentException("no attempt has the id " + attempt);
    }
    return request;
  }

  private void onCrashedByPart(ModelEngine engine, CrashingPart part) {
    crashingPartCheck.onCrash(part);
    crashServer(engine, part.downtime());
  }

  /** Has an engine send nothing for a time, after which it goes on. */
  void silenceEngine(ModelServer server, Duration lasting) {
    if (server instanceof ModelEngine engine) {
      engine.fallSilent(lasting);
    }
  }

  /** Has an engine neither read nor send anything for a time, after which it goes on. */
  void freezeEngine(ModelServer server, Duration lasting) {
    silenceEngine(server, lasting);
    frozenUntilNanos.merge(server.name(), time.elapsedNanos() + lasting.toNanos(), Math::max);
  }

  /** Returns for how long a server still reads nothing; 0 if it reads. */
  long frozenNanos(ModelServer server) {
    return Math.max(0, frozenUntilNanos.getOrDefault(server.name(), 0L) - time.elapsedNanos());
  }

  /** Records that a connection was closed within a stream, before the request's time was over. */
  void onStreamCut(ModelRequest request) {
    if (faultsSpareAnswers()) {
      violations.add("stream %d was cut although no fault ends one".formatted(request.number()));
    }
  }

  private boolean faultsSpareAnswers() {
    return scenario.faults().stream().allMatch(fault -> fault.kind().sparesAnswers());
  }

  /** Sets the requests in a second that a server takes. */
  void limitServer(ModelServer server, double requestsPerSecond) {
    serverLimits.put(server.name(), requestsPerSecond);
  }

  /** Ends the limit of a server. */
  void endLimit(ModelServer server) {
    serverLimits.remove(server.name());
    limitCheck.onEnded(server.name());
  }

  /** Returns the limit that a server names in an answer that it begins; empty if it names none. */
  OptionalDouble nameLimit(ModelServer server) {
    Double limit = serverLimits.get(server.name());
    if (limit == null) {
      return OptionalDouble.empty();
    }
    limitCheck.onNamed(server.name(), limit);
    return OptionalDouble.of(limit);
  }

  RateLimitCheck limitCheck() {
    return limitCheck;
  }

  StatementCheck statementCheck() {
    return statementCheck;
  }

  /** Lets a server say in all its answers that it leaves, until it ends and is replaced. */
  void announceLeave(ModelServer server, Duration endsAfter, Duration downtime) {
    leavingServers.add(server.name());
    time.schedule(endsAfter, () -> crashServer(server, downtime));
  }

  boolean isLeaving(ModelServer server) {
    return leavingServers.contains(server.name());
  }

  /** Lets a server reject all requests and ask for a pause, for {@code lasting}. */
  void rejectWithPause(ModelServer server, Duration pause, Duration lasting) {
    pausesByServer.put(server.name(), pause);
    time.schedule(lasting, () -> pausesByServer.remove(server.name()));
  }

  /** Returns the pause for which a server asks as it rejects a request; empty if it takes it. */
  Optional<Duration> pauseOf(ModelServer server) {
    return Optional.ofNullable(pausesByServer.get(server.name()));
  }

  /** Records an attempt of an instance that arrives at a server. */
  void onSentToServer(String instance, ModelServer server, ModelRequest request, String attempt) {
    statementCheck.onArrival(
        instance, server.name(), attemptSentAtNanos.getOrDefault(attempt, time.elapsedNanos()));
    limitCheck.onArrival(instance, server.name(), inTouch(instance));
    request.crashingPart().ifPresent(part -> crashingPartCheck.onArrival(part, inTouch(instance)));
  }

  /** Records whether the first attempt of a request was served. */
  void onFirstAttempt(String instance, ModelRequest request, boolean served) {
    if (inTouch(instance) && request.crashingPart().isEmpty()) {
      crashingPartCheck.onFirstAttempt(request, served);
      skewCheck.onFirstAttempt(served);
    }
  }

  /** Records the streams that callers hold and take up. */
  StreamCheck streamCheck() {
    return streamCheck;
  }

  void onRequestCompleted(ModelRequest request, ModelCaller.Outcome outcome) {
    Scenario.Kind kind = request.kind();
    double worth =
        switch (outcome) {
          case IN_TIME -> kind.worth();
          case LATE -> kind.lateWorth();
          case REFUSED, FAILED -> 0;
        };
    tallies.merge(
        kind.name(),
        new SimulationResult.Tally(
            1,
            outcome == ModelCaller.Outcome.IN_TIME ? 1 : 0,
            outcome == ModelCaller.Outcome.LATE ? 1 : 0,
            outcome == ModelCaller.Outcome.REFUSED ? 1 : 0,
            outcome == ModelCaller.Outcome.FAILED ? 1 : 0,
            worth,
            kind.worth()),
        SimulationResult.Tally::plus);
  }

  // Invariants.

  /** Records that a server starts to run an attempt, and checks for one that is run twice. */
  void onAttemptStarted(String attempt) {
    ModelRequest request = requestOf(attempt);
    if (request.kind().answer() == Scenario.Answer.ONCE
        && runsOfAtMostOnceAttempts.merge(attempt, 1, Integer::sum) > 1) {
      violations.add("attempt %s ran twice".formatted(attempt));
    }
  }

  void onEvent(String instance, GatewayEvent event) {
    if (event instanceof GatewayEvent.RequestEnded ended) {
      if (ended.outcome().equals("backend-failed") && faultsSpareAnswers()) {
        violations.add("%s failed although no server did".formatted(ended.request()));
      }
      if (!ended.outcome().equals("answered")) {
        refusals.merge(ended.outcome(), 1L, Long::sum);
      }
      if (ended.plan() > planVersion) {
        violations.add(
            "%s answered under plan %d, which isn't published yet"
                .formatted(instance, ended.plan()));
      }
      long began = time.elapsedNanos() - ended.took().toNanos();
      if (ended.plan() > 0 && !planOrder(instance).add(began, ended.plan())) {
        violations.add("%s went back to plan %d".formatted(instance, ended.plan()));
      }
    }
  }

  private PlanOrderCheck planOrder(String instance) {
    return planOrders.computeIfAbsent(instance, name -> new PlanOrderCheck());
  }

  private void checkPrepaidTotals() {
    long prepaid = scenario.customers().prepaid();
    for (String customer : load.customers()) {
      long used = meter.tokensOf(customer);
      if (used > prepaid) {
        violations.add("%s used %d tokens of %d".formatted(customer, used, prepaid));
      }
    }
  }

  // Faults.

  /**
   * Ends an instance as by a loss of power, and starts it again. Its steady clock jumps by 1000 s,
   * since such a clock starts anew with each boot.
   */
  void losePower(String name) {
    runningInstance(name).ifPresent(ModelInstance::kill);
    steadyClockOffsetsNanos.merge(name, 1_000_000_000_000L, Long::sum);
    time.schedule(RESTART_DELAY, () -> startInstance(name));
  }

  /** Starts an instance again after an orderly stop. */
  void restartAfterStop(String name) {
    time.schedule(RESTART_DELAY, () -> startInstance(name));
  }

  /** Crashes a server, which starts again without requests and cache after {@code lasting}. */
  void crashServer(ModelServer server, Duration lasting) {
    server.setDown(true);
    endLimit(server);
    leavingServers.remove(server.name());
    pausesByServer.remove(server.name());
    statementCheck.onServerReplaced(server.name());
    time.schedule(LISTING_DELAY, () -> updateListings(server, false));
    time.schedule(
        lasting,
        () -> {
          server.setDown(false);
          serverStarts.put(server.name(), time.instant());
          time.schedule(LISTING_DELAY, () -> updateListings(server, true));
        });
  }

  /** Whether at least two engines run one of these software versions. */
  boolean servedByTwo(Set<String> wanted) {
    return runningServers().stream()
            .filter(ModelEngine.class::isInstance)
            .filter(engine -> wanted.contains(versionOf(engine)))
            .count()
        >= 2;
  }

  /** Restarts an engine with the next software version. */
  void replace(ModelServer engine, Duration lasting) {
    crashServer(engine, lasting);
    versions.merge(engine.name(), 1, (version, one) -> (version + one) % (allVersions() + 1));
  }

  /** The number of versions at the start; a release brings one more. */
  private int allVersions() {
    return scenario.engines().versions();
  }

  /** Whether an instance has run and been connected to its peers for as long as the rules ask. */
  boolean inTouch(String instance) {
    long startedAt = startedAtNanos.getOrDefault(instance, 0L);
    return time.elapsedNanos() - startedAt >= STABILISATION_TIME.toNanos()
        && network.connectedFor(instance, STABILISATION_TIME);
  }

  private void updateListings(ModelServer server, boolean present) {
    if (present != server.isDown()) {
      instances.values().stream()
          .filter(ModelInstance::alive)
          .forEach(instance -> instance.updateListing(server, present));
    }
  }

  /** Publishes a plan with the next version, which each instance receives after a delay. */
  void publishPlan() {
    planVersion++;
    GatewayPlan next = plan();
    for (ModelInstance instance : instances.values()) {
      long delay = random.nextLong(MAX_PLAN_DELAY.toNanos());
      time.scheduleNanos(delay, () -> instance.applyPlan(next));
    }
  }

  // Result.

  private SimulationResult result() {
    double seconds = scenario.duration().plus(WARM_UP).plus(DRAIN_TIME).toMillis() / 1e3;
    double instanceSeconds = scenario.instances() * seconds;
    double messages = 0;
    double bytes = 0;
    for (String name : memberNames) {
      messages += network.trafficOf(name).messages;
      bytes += network.trafficOf(name).bytes;
    }
    long sharedTokensRead =
        servers.values().stream()
            .filter(ModelEngine.class::isInstance)
            .mapToLong(server -> ((ModelEngine) server).sharedTokensRead())
            .sum();
    return new SimulationResult(
        scenario.name(),
        scenario.instances(),
        seed,
        tallies,
        refusals,
        new SimulationResult.Cost(
            messages / instanceSeconds,
            bytes / instanceSeconds,
            log.appends() / instanceSeconds,
            log.reads() / instanceSeconds,
            sharedTokensRead,
            crashingPartCheck.crashes()),
        Stream.of(
                crashingPartCheck.observations(),
                limitCheck.observations(),
                statementCheck.observations())
            .flatMap(List::stream)
            .toList(),
        violations);
  }
}
