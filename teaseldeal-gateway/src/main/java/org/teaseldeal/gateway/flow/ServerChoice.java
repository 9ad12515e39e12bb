package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.PromptPlacement;
import org.teaseldeal.decisions.ServerHealth;
import org.teaseldeal.gateway.peer.FleetLoad;
import org.teaseldeal.gateway.peer.OthersLoad;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.CachedPrompts;
import org.teaseldeal.gateway.server.ServerDirectory;
import org.teaseldeal.gateway.server.ServerIncarnation;

/** Chooses the backend server of each attempt from what the list and own attempts say. */
final class ServerChoice {
  /** The first and the longest time that an unfit server is left out, and its way back. */
  private static final Duration FIRST_EJECTION = Duration.ofSeconds(1);

  private static final Duration LONGEST_EJECTION = Duration.ofSeconds(8);
  private static final Duration RAMP = Duration.ofSeconds(1);

  /** Between looks at all servers while none fails: short against the first ejection. */
  private static final Duration UPDATE_INTERVAL = Duration.ofMillis(100);

  /**
   * What was chosen.
   *
   * @param candidates among which
   * @param others what other instances were thought to have at the server
   * @param uncachedTokens of the prompt that the server has to read
   * @param heardAgo how old the news of the other instances was
   */
  record Chosen(
      BackendServer server,
      int candidates,
      OthersLoad others,
      long uncachedTokens,
      Duration heardAgo) {}

  private final ServerDirectory servers;
  private final Supplier<FleetLoad> load;
  private final CachedPrompts cached;
  private final RandomGenerator random;
  private final Map<String, ServerHealth> healthByService = new HashMap<>();
  private final Map<BackendServerId, ServerIncarnation> followed = new HashMap<>();
  private long seenChanges = -1;
  private Instant nextUpdate = Instant.MIN;

  ServerChoice(
      ServerDirectory servers,
      Supplier<FleetLoad> load,
      CachedPrompts cached,
      RandomGenerator random) {
    this.servers = servers;
    this.load = load;
    this.cached = cached;
    this.random = random;
  }

  /** Follows the list and leaves out servers that have become unfit. */
  void tick(Instant now) {
    followList(now);
    if (!now.isBefore(nextUpdate)) {
      nextUpdate = now.plus(UPDATE_INTERVAL);
      healthByService.values().forEach(health -> health.update(now));
    }
  }

  /** How many servers are left out as unfit. */
  int leftOut(Instant now) {
    return healthByService.values().stream().mapToInt(health -> health.ejected(now).size()).sum();
  }

  private void followList(Instant now) {
    if (seenChanges == servers.changes()) {
      return;
    }
    Map<String, Set<BackendServerId>> listed = new HashMap<>();
    for (BackendServer server : servers.all()) {
      listed.computeIfAbsent(server.service(), name -> new HashSet<>()).add(server.id());
      forgetEarlierIncarnation(server);
    }
    listed.keySet().forEach(this::health);
    healthByService.forEach(
        (service, health) ->
            health.onListed(listed.getOrDefault(service, Set.of()), now, seenChanges < 0));
    followed.keySet().removeIf(id -> servers.find(id).isEmpty());
    seenChanges = servers.changes();
  }

  /**
   * Failure: a server that failed until it was left out starts again under its id. Symptom: the new
   * process stands idle for the rest of the ejection, or is given little as its predecessor was
   * slow.
   */
  private void forgetEarlierIncarnation(BackendServer server) {
    if (!server.incarnation().equals(followed.put(server.id(), server.incarnation()))) {
      health(server.service()).forget(server.id());
    }
  }

  /** Servers are compared with those of their own service only. */
  private ServerHealth health(String service) {
    return healthByService.computeIfAbsent(
        service, name -> new ServerHealth(FIRST_EJECTION, LONGEST_EJECTION, RAMP));
  }

  /**
   * Chooses a server of {@code service}.
   *
   * @param prompt none for a plain service
   * @param aim until when the answer is to begin
   * @param tried servers that failed this request before; one that started again since is none
   */
  Optional<Chosen> choose(
      String service,
      Optional<PromptTerms> prompt,
      Duration aim,
      Set<ServerIncarnation> tried,
      Instant now) {
    followList(now);
    ServerHealth health = health(service);
    List<BackendServer> ready = servers.ready(service);
    List<BackendServer> untried =
        ready.stream().filter(server -> !tried.contains(server.incarnation())).toList();
    List<BackendServer> fit =
        untried.stream()
            .filter(server -> !server.avoided(now) && health.isIn(server.id(), now))
            .toList();
    List<BackendServer> candidates = fit.isEmpty() ? untried : fit;
    FleetLoad fleet = load.get();
    List<PromptPlacement.Candidate> views =
        candidates.stream().map(server -> view(server, fleet.at(server.id()), prompt)).toList();
    String beginning = prompt.map(PromptTerms::sharedBeginning).orElse("");
    return PromptPlacement.choose(views, new PromptPlacement.Prompt(beginning, aim), random)
        .flatMap(servers::find)
        .map(
            server ->
                new Chosen(
                    server,
                    candidates.size(),
                    fleet.at(server.id()),
                    uncached(server, prompt),
                    fleet.heardAgo()));
  }

  private PromptPlacement.Candidate view(
      BackendServer server, OthersLoad others, Optional<PromptTerms> prompt) {
    long uncached = uncached(server, prompt);
    return new PromptPlacement.Candidate(
        server.id(),
        server.running() + others.running(),
        Math.max(0, server.promptTokensAhead()) + others.promptTokensAhead(),
        uncached,
        prompt.map(terms -> uncached == terms.unsharedTokens()).orElse(false),
        health(server.service()).slowness(server.id()));
  }

  /** Tokens of a prompt that a server has to read: all behind the first part that it lacks. */
  private long uncached(BackendServer server, Optional<PromptTerms> prompt) {
    if (prompt.isEmpty()) {
      return 0;
    }
    long tokens = prompt.get().inputTokens();
    for (PromptPart part : prompt.get().sharedParts()) {
      if (!cached.holds(server.incarnation(), part.id())) {
        return tokens;
      }
      tokens = Math.max(prompt.get().unsharedTokens(), tokens - part.tokens());
    }
    return tokens;
  }

  /**
   * Counts a whole answer.
   *
   * @param work the time that it should take, in any unit; the kinds of request differ by far
   */
  void onAnswered(BackendServer server, Duration took, double work) {
    if (servers.lists(server.incarnation())) {
      health(server.service()).onAnswered(server.id(), took, work);
    }
  }

  /** Counts a failure that is the server's; of an earlier process it says nothing of the next. */
  void onFailed(BackendServer server) {
    if (servers.lists(server.incarnation())) {
      health(server.service()).onFailed(server.id());
      nextUpdate = Instant.MIN;
    }
  }
}
