package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.BrittleLimits;
import org.teaseldeal.decisions.PlainPlacement;
import org.teaseldeal.decisions.PromptPlacement;
import org.teaseldeal.decisions.ServerHealth;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.path.AnnouncedLimits;
import org.teaseldeal.gateway.path.RequestedPauses;
import org.teaseldeal.gateway.path.ServerLimits;
import org.teaseldeal.gateway.peer.PeerLoad;
import org.teaseldeal.gateway.peer.PeerLoads;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Chooses the backend server for each attempt, based on the server list, the load of all instances,
 * the presumed cache contents and the results of this instance's own attempts.
 */
final class ServerSelector {
  /** The first ejection of an unhealthy server, the longest one, and the ramp-up after each. */
  private static final Duration MIN_EJECTION = Duration.ofSeconds(1);

  private static final Duration MAX_EJECTION = Duration.ofSeconds(8);
  private static final Duration RAMP_UP = Duration.ofSeconds(1);

  /**
   * The interval between two updates of the servers' health while no server fails; short compared
   * with the first ejection.
   */
  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);

  /**
   * How long after its announcement a leaving server is still chosen for a stream that no other
   * server can continue. Servers serve on for two seconds, and the announcement reaches an instance
   * some time after it was made.
   */
  private static final Duration LEAVING_SERVER_USE = Duration.ofSeconds(1);

  /**
   * What a server is chosen for.
   *
   * @param service the name of the service
   * @param prompt the prompt; empty for a service without prompts
   * @param targetTime the time within which the answer should begin
   * @param tried the incarnations that failed this request before; a server that has restarted
   *     since may be chosen again
   * @param softwareVersion the only version at which a stream that has begun may go on; empty if
   *     any version may serve the request
   * @param plainRank the priority of a request that is placed by {@link PlainPlacement}; empty for
   *     other requests
   */
  record Criteria(
      String service,
      Optional<PromptDescription> prompt,
      Duration targetTime,
      Set<ServerIncarnation> tried,
      Optional<String> softwareVersion,
      OptionalInt plainRank) {
    Criteria(
        String service,
        Optional<PromptDescription> prompt,
        Duration targetTime,
        Set<ServerIncarnation> tried,
        Optional<String> softwareVersion) {
      this(service, prompt, targetTime, tried, softwareVersion, OptionalInt.empty());
    }
  }

  /**
   * The chosen server and the data that led to the choice.
   *
   * @param candidates the number of servers that may be used, not all of which need to have been
   *     examined
   * @param otherVersions the number of servers that were left out because of their version
   * @param peerLoad the load that the other instances were presumed to have at the server
   * @param uncachedTokens the number of prompt tokens that the server has to read
   * @param tokensAhead the prompt tokens of all instances that the server has to read before
   * @param running the number of requests of all instances that run at the server
   * @param loadAge the age of the other instances' load figures
   */
  record Selection(
      BackendServer server,
      int candidates,
      int otherVersions,
      PeerLoad peerLoad,
      long uncachedTokens,
      long tokensAhead,
      int running,
      Duration loadAge) {}

  /**
   * What the servers of a service take that all name limits.
   *
   * @param roomAt when one of them has room for a request of this instance
   * @param requestsPerSecond the requests that all instances together may send them, more than 0
   */
  record LimitedService(Instant roomAt, double requestsPerSecond) {}

  private final ServerDirectory servers;
  private final Supplier<PeerLoads> peerLoads;
  private final CachedPrompts cachedPrompts;
  private final RandomGenerator random;
  private final IntSupplier instances;
  private final ServerLimits serverLimits;
  private final EventSink events;
  private final Map<String, ServerHealth> healthByService = new HashMap<>();
  private final Map<String, BrittleLimits> limitsByService = new HashMap<>();
  private final Map<String, PlainPlacement> plainByService = new HashMap<>();
  private final Map<String, EngineChoice> enginesByService = new HashMap<>();
  private final EngineOptions engineOptions;
  private final ToLongFunction<String> memoryTokens;
  private final Map<BackendServerId, ServerIncarnation> knownIncarnations = new HashMap<>();
  private long lastSeenChanges = -1;
  private Instant nextUpdate = Instant.MIN;

  /**
   * Creates a selector.
   *
   * @param memoryTokens the tokens that the memory of an engine of a service holds; 0 if unknown
   */
  ServerSelector(
      ServerDirectory servers,
      Supplier<PeerLoads> peerLoads,
      CachedPrompts cachedPrompts,
      IntSupplier instances,
      ServerLimits serverLimits,
      EventSink events,
      RandomGenerator random,
      EngineOptions engineOptions,
      ToLongFunction<String> memoryTokens) {
    this.engineOptions = engineOptions;
    this.memoryTokens = memoryTokens;
    this.instances = instances;
    this.serverLimits = serverLimits;
    this.events = events;
    this.servers = servers;
    this.peerLoads = peerLoads;
    this.cachedPrompts = cachedPrompts;
    this.random = random;
  }

  /** Takes changes of the server list into account and ejects servers that became unhealthy. */
  void tick(Instant now) {
    refreshFromList(now);
    if (!now.isBefore(nextUpdate)) {
      nextUpdate = now.plus(UPDATE_INTERVAL);
      healthByService.values().forEach(health -> health.update(now));
    }
  }

  /** The number of servers that are ejected as unhealthy. */
  int ejectedCount(Instant now) {
    return healthByService.values().stream().mapToInt(health -> health.ejected(now).size()).sum();
  }

  private void refreshFromList(Instant now) {
    if (lastSeenChanges == servers.changes()) {
      return;
    }
    Map<String, Set<BackendServerId>> listedByService = new HashMap<>();
    for (BackendServer server : servers.all()) {
      listedByService.computeIfAbsent(server.service(), name -> new HashSet<>()).add(server.id());
      forgetEarlierIncarnation(server, now);
    }
    listedByService.keySet().forEach(this::health);
    healthByService.forEach(
        (service, health) ->
            health.onListed(
                listedByService.getOrDefault(service, Set.of()), now, lastSeenChanges < 0));
    limitsByService.forEach(
        (service, limits) -> limits.retain(listedByService.getOrDefault(service, Set.of())));
    plainByService.forEach(
        (service, placement) -> placement.retain(listedByService.getOrDefault(service, Set.of())));
    enginesByService.forEach(
        (service, engines) -> engines.retain(listedByService.getOrDefault(service, Set.of())));
    knownIncarnations.keySet().removeIf(id -> servers.find(id).isEmpty());
    lastSeenChanges = servers.changes();
  }

  /**
   * Discards the health record of a server's earlier incarnation.
   *
   * <p>Otherwise the new process of a server that restarts under its id would get no requests until
   * the ejection of its predecessor ends, or few because its predecessor was slow.
   */
  private void forgetEarlierIncarnation(BackendServer server, Instant now) {
    if (!server.incarnation().equals(knownIncarnations.put(server.id(), server.incarnation()))) {
      health(server.service()).forget(server.id());
      engines(server.service()).forget(server.id());
      limits(server.service())
          .onListed(server.id(), server.maxConcurrentRequests(), instances.getAsInt(), now);
    }
  }

  /** The health of the servers of a service, which are compared only with each other. */
  private ServerHealth health(String service) {
    return healthByService.computeIfAbsent(
        service, name -> new ServerHealth(MIN_EJECTION, MAX_EJECTION, RAMP_UP));
  }

  /** Chooses a server; empty if there is none with room for the request. */
  Optional<Selection> select(Criteria criteria, Instant now) {
    refreshFromList(now);
    if (criteria.prompt().isPresent()) {
      return selectEngine(criteria, criteria.prompt().get(), now);
    }
    ServerHealth health = health(criteria.service());
    PrefixLookup prefixes = new PrefixLookup(cachedPrompts, criteria.prompt());
    List<BackendServer> eligible = eligible(criteria, now);
    PeerLoads loads = peerLoads.get();
    List<BackendServer> sendable = sendable(untried(criteria, eligible, loads, now), now);
    List<BackendServer> healthy =
        sendable.stream()
            .filter(server -> !server.isExcluded(now) && health.isEligible(server.id(), now))
            .toList();
    List<BackendServer> candidates = healthy.isEmpty() ? sendable : healthy;
    Optional<BackendServerId> chosen =
        criteria.plainRank().isPresent()
            ? choosePlain(candidates, criteria, loads, now)
            : chooseSoonest(candidates, criteria, loads);
    return chosen
        .flatMap(servers::find)
        .map(
            server ->
                selection(
                    server,
                    candidates.size(),
                    servers.ready(criteria.service()).size() - eligible.size(),
                    loads,
                    prefixes));
  }

  private static Selection selection(
      BackendServer server,
      int candidates,
      int otherVersions,
      PeerLoads loads,
      PrefixLookup prefixes) {
    PeerLoad peerLoad = loads.at(server.id());
    return new Selection(
        server,
        candidates,
        otherVersions,
        peerLoad,
        prefixes.uncachedTokens(server),
        Math.max(0, server.promptTokensAhead()) + peerLoad.promptTokensAhead(),
        server.running() + peerLoad.running(),
        loads.age());
  }

  /**
   * Chooses an engine for a prompt among the first of these groups that isn't empty: the engines
   * that are healthy and that this instance may send to, those that it may send to, and those that
   * another instance may send to.
   */
  private Optional<Selection> selectEngine(
      Criteria criteria, PromptDescription prompt, Instant now) {
    ServerHealth health = health(criteria.service());
    EngineChoice engines = engines(criteria.service());
    PrefixLookup prefixes = new PrefixLookup(cachedPrompts, criteria.prompt());
    List<BackendServer> eligible = eligible(criteria, now);
    PeerLoads loads = peerLoads.get();
    Predicate<BackendServer> untried =
        server -> !criteria.tried().contains(server.incarnation()) && hasRoom(server, loads, now);
    Predicate<BackendServer> direct = server -> serverLimits.hasRoom(server, now);
    Predicate<BackendServer> healthy =
        server -> !server.isExcluded(now) && health.isEligible(server.id(), now);
    Predicate<BackendServer> relayed = serverLimits::hasOtherHolders;
    Predicate<BackendServer> usable =
        Stream.of(untried.and(direct).and(healthy), untried.and(direct))
            .filter(each -> eligible.stream().anyMatch(each))
            .findFirst()
            .orElse(untried.and(relayed));
    return engines
        .choose(eligible, usable, prompt, prefixes, criteria.targetTime(), loads, health)
        .map(
            server ->
                selection(
                    server,
                    eligible.size(),
                    servers.ready(criteria.service()).size() - eligible.size(),
                    loads,
                    prefixes));
  }

  private EngineChoice engines(String service) {
    return enginesByService.computeIfAbsent(
        service,
        name -> new EngineChoice(engineOptions, () -> memoryTokens.applyAsLong(name), random));
  }

  /** The eligible servers that have not failed the request before and have room for it. */
  private List<BackendServer> untried(
      Criteria criteria, List<BackendServer> eligible, PeerLoads loads, Instant now) {
    return eligible.stream()
        .filter(server -> !criteria.tried().contains(server.incarnation()))
        .filter(server -> hasRoom(server, loads, now))
        .toList();
  }

  private Optional<BackendServerId> chooseSoonest(
      List<BackendServer> candidates, Criteria criteria, PeerLoads loads) {
    List<PromptPlacement.Candidate> views =
        candidates.stream().map(server -> candidate(server, loads.at(server.id()))).toList();
    return PromptPlacement.choose(
        views, new PromptPlacement.Prompt("", criteria.targetTime()), random);
  }

  private Optional<BackendServerId> choosePlain(
      List<BackendServer> candidates, Criteria criteria, PeerLoads loads, Instant now) {
    return plain(criteria.service())
        .choose(
            plainCandidates(candidates, loads),
            new PlainPlacement.Fleet(loads.age(), Math.max(1, instances.getAsInt())),
            criteria.plainRank().getAsInt(),
            now);
  }

  private List<PlainPlacement.Candidate> plainCandidates(
      List<BackendServer> candidates, PeerLoads loads) {
    return candidates.stream()
        .map(
            server ->
                new PlainPlacement.Candidate(
                    server.id(),
                    Math.max(1, server.maxConcurrentRequests()),
                    server.running(),
                    loads.at(server.id()).running(),
                    health(server.service()).slowness(server.id())))
        .toList();
  }

  private PlainPlacement plain(String service) {
    return plainByService.computeIfAbsent(service, name -> new PlainPlacement(random));
  }

  /** Whether a server could run the request once it has room. */
  boolean hasCandidates(Criteria criteria, Instant now) {
    List<BackendServer> eligible = eligible(criteria, now);
    return !sendable(untried(criteria, eligible, peerLoads.get(), now), now).isEmpty();
  }

  /** The usual time of a request to a service without engines. */
  Duration usualDuration(String service) {
    return plain(service).usualDuration();
  }

  /** How many requests this instance may send in a second to a service whose servers are full. */
  double startsPerSecond(String service, Instant now) {
    return plain(service)
        .startsPerSecond(
            plainCandidates(unpaused(servers.ready(service), now), peerLoads.get()),
            Math.max(1, instances.getAsInt()));
  }

  private List<BackendServer> unpaused(List<BackendServer> all, Instant now) {
    RequestedPauses pauses = serverLimits.pauses();
    return pauses.isEmpty()
        ? all
        : all.stream().filter(server -> !pauses.isPaused(server, now)).toList();
  }

  /**
   * The servers that this instance may send a request to. If all are warming up and this instance
   * has used its share, these are the servers that another instance may send it to.
   */
  private List<BackendServer> sendable(List<BackendServer> servers, Instant now) {
    List<BackendServer> direct =
        servers.stream().filter(server -> serverLimits.hasRoom(server, now)).toList();
    return direct.isEmpty()
        ? servers.stream().filter(server -> serverLimits.hasOtherHolders(server)).toList()
        : direct;
  }

  /**
   * The servers that may run the request. A stream that has begun goes only to servers of its
   * version that can't have been restarted with another one unnoticed. If no ready server has the
   * version that a stream needs, these are the servers of that version that have just announced
   * that they leave.
   */
  private List<BackendServer> eligible(Criteria criteria, Instant now) {
    List<BackendServer> ready = servers.ready(criteria.service());
    if (criteria.softwareVersion().isEmpty()) {
      return ready;
    }
    String version = criteria.softwareVersion().get();
    List<BackendServer> fitting = ofVersion(ready, version);
    return fitting.isEmpty()
        ? ofVersion(servers.leaving(criteria.service(), now.minus(LEAVING_SERVER_USE)), version)
        : fitting;
  }

  private static List<BackendServer> ofVersion(List<BackendServer> servers, String version) {
    return servers.stream()
        .filter(server -> server.softwareVersion().equals(version) && !server.mayHaveRestarted())
        .toList();
  }

  /**
   * When the first of the servers that could run a request has room for it, if all of them asked
   * this instance for a pause; empty if one of them didn't, or there are none.
   */
  Optional<Instant> pausedUntil(Criteria criteria, Instant now) {
    RequestedPauses pauses = serverLimits.pauses();
    if (pauses.isEmpty()) {
      return Optional.empty();
    }
    List<BackendServer> untried =
        eligible(criteria, now).stream()
            .filter(server -> !criteria.tried().contains(server.incarnation()))
            .toList();
    return untried.stream().allMatch(server -> !pauses.hasRoom(server, now))
        ? untried.stream().map(server -> pauses.roomAt(server, now)).min(Comparator.naturalOrder())
        : Optional.empty();
  }

  /** Whether a service has servers, none of which may run a request because all of them leave. */
  boolean areAllLeaving(Criteria criteria, Instant now) {
    return servers.areAllLeaving(criteria.service()) && eligible(criteria, now).isEmpty();
  }

  /** Whether any server of a software version may run requests of a service. */
  boolean serves(String service, String version, Instant now) {
    return !eligible(
            new Criteria(service, Optional.empty(), Duration.ZERO, Set.of(), Optional.of(version)),
            now)
        .isEmpty();
  }

  private PromptPlacement.Candidate candidate(BackendServer server, PeerLoad peerLoad) {
    return new PromptPlacement.Candidate(
        server.id(),
        server.running() + peerLoad.running(),
        Math.max(0, server.promptTokensAhead()) + peerLoad.promptTokensAhead(),
        0,
        false,
        health(server.service()).slowness(server.id()));
  }

  private BrittleLimits limits(String service) {
    return limitsByService.computeIfAbsent(service, name -> new BrittleLimits(random));
  }

  private boolean hasRoom(BackendServer server, PeerLoads loads, Instant now) {
    BrittleLimits limits = limitsByService.get(server.service());
    return limits == null
        || !limits.isInForce(now)
        || limits.hasRoom(
            server.id(), server.maxConcurrentRequests(), fleetLoad(server, loads), now);
  }

  private BrittleLimits.FleetLoad fleetLoad(BackendServer server, PeerLoads loads) {
    return new BrittleLimits.FleetLoad(
        server.running(), loads.at(server.id()).running(), Math.max(1, instances.getAsInt()));
  }

  /** What the servers of a service take; empty if one of them names no limit. */
  Optional<LimitedService> limitedService(String service, Instant now) {
    AnnouncedLimits announced = serverLimits.announced();
    List<BackendServer> ready = servers.ready(service);
    if (announced.isEmpty() || ready.isEmpty() || !ready.stream().allMatch(announced::isLimited)) {
      return Optional.empty();
    }
    Instant roomAt = Instant.MAX;
    double requestsPerSecond = 0;
    for (BackendServer server : ready) {
      Instant room = announced.roomAt(server, now);
      roomAt = room.isBefore(roomAt) ? room : roomAt;
      requestsPerSecond += announced.allowedPerSecond(server, now);
    }
    return Optional.of(new LimitedService(roomAt, requestsPerSecond));
  }

  /** The number of servers of a service that name a limit of the requests that they take. */
  int limitedServers(String service) {
    AnnouncedLimits announced = serverLimits.announced();
    return announced.isEmpty()
        ? 0
        : (int) servers.ready(service).stream().filter(announced::isLimited).count();
  }

  /** Whether servers of a service get no more requests than they have room for. */
  boolean limitsRequests(String service, Instant now) {
    BrittleLimits limits = limitsByService.get(service);
    EngineChoice engines = enginesByService.get(service);
    return (engines != null && engines.lacksMemory())
        || (limits != null && limits.isInForce(now))
        || servers.ready(service).stream().anyMatch(serverLimits::isLimited);
  }

  /**
   * Records whether a server announces that it fails from a number of rejections on. All servers of
   * its service do so at the same time.
   */
  void onAnswerHead(BackendServer server, OptionalInt maxRejections, Instant now) {
    BrittleLimits limits = limitsByService.get(server.service());
    boolean before = limits != null && limits.isInForce(now);
    if (maxRejections.isPresent()) {
      limits(server.service()).onAnnounced(maxRejections.getAsInt(), now);
    } else if (before) {
      limits(server.service()).onNotAnnounced();
    }
    if (before != maxRejections.isPresent()) {
      events.accept(
          new GatewayEvent.ServersBrittle(
              server.service(), maxRejections.isPresent(), maxRejections.orElse(0)));
    }
  }

  /** The number of prompts placed at engines that prompts of the other length use first. */
  long promptsAtOtherEngines() {
    return enginesByService.values().stream().mapToLong(EngineChoice::placedElsewhere).sum();
  }

  /** The microseconds in which the slowest service's average engine reads a token of a prompt. */
  long engineReadMicrosPerToken() {
    return enginesByService.values().stream()
        .mapToLong(EngineChoice::readMicrosPerToken)
        .max()
        .orElse(0);
  }

  /** Records a prompt that was sent to an engine. */
  void onPromptSent(
      Selection selection, PromptDescription prompt, Duration targetTime, Instant now) {
    engines(selection.server().service())
        .onSent(prompt, selection.uncachedTokens(), targetTime, now);
  }

  /** Records the first event of an answer to a prompt. */
  void onFirstEvent(Selection selection, Duration took) {
    BackendServer server = selection.server();
    if (servers.lists(server.incarnation())) {
      engines(server.service())
          .onFirstEvent(
              server,
              took,
              selection.tokensAhead(),
              selection.uncachedTokens(),
              selection.running());
    }
  }

  /** Records the end of an answer to a prompt. */
  void onPromptAnswered(BackendServer server, Duration took) {
    engines(server.service()).onEnded(took);
  }

  /** Records that a request was sent to a server. */
  void onSent(BackendServer server, Instant now) {
    BrittleLimits limits = limitsByService.get(server.service());
    if (limits != null) {
      limits.onSent(server.id(), now);
    }
  }

  /** Records that a server rejected a request for want of room. */
  void onRejected(BackendServer server, Instant now) {
    BrittleLimits limits = limitsByService.get(server.service());
    if (limits != null) {
      limits.onRejected(
          server.id(), server.maxConcurrentRequests(), fleetLoad(server, peerLoads.get()), now);
    }
    PlainPlacement placement = plainByService.get(server.service());
    if (placement != null) {
      placement.onRejected(server.id(), now);
    }
  }

  /**
   * Records a complete answer.
   *
   * @param work the time that the answer should take, in any unit; kinds of request differ widely
   */
  void onAnswered(BackendServer server, Duration took, double work) {
    if (servers.lists(server.incarnation())) {
      health(server.service()).onAnswered(server.id(), took, work);
      limits(server.service()).onAnswered(took);
      PlainPlacement placement = plainByService.get(server.service());
      if (placement != null) {
        placement.onAnswered(took);
      }
    }
  }

  /** Discards failures of a server that may have been failures of the path to it. */
  void forgetFailures(BackendServer server) {
    health(server.service()).forgetFailures(server.id());
  }

  /**
   * Records a failure of the server. It is ignored if the server has restarted since, as a failure
   * of the earlier process says nothing about the new one.
   */
  void onFailed(BackendServer server) {
    if (servers.lists(server.incarnation())) {
      health(server.service()).onFailed(server.id());
      nextUpdate = Instant.MIN;
    }
  }
}
