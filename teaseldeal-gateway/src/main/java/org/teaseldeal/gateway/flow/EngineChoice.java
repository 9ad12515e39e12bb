package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.EngineMemory;
import org.teaseldeal.decisions.EngineRates;
import org.teaseldeal.decisions.EngineShortlist;
import org.teaseldeal.decisions.PromptMix;
import org.teaseldeal.decisions.PromptPlacement;
import org.teaseldeal.decisions.ServerHealth;
import org.teaseldeal.gateway.peer.PeerLoad;
import org.teaseldeal.gateway.peer.PeerLoads;
import org.teaseldeal.gateway.server.BackendServer;

/** Chooses the engines of one service's prompts, and learns from their answers. */
final class EngineChoice {
  private static final long THOUSAND = 1_000;

  private final EngineOptions options;
  private final LongSupplier memoryTokens;
  private final RandomGenerator random;
  private final EngineRates rates = new EngineRates();
  private final PromptMix mix = new PromptMix();
  private final @Nullable EngineMemory memory;
  private final Map<BackendServerId, Integer> positions = new HashMap<>();
  private List<BackendServer> listed = List.of();
  private EngineShortlist shortlist = new EngineShortlist(List.of());
  private long placedElsewhere;
  private boolean lacksMemory;

  /**
   * Creates the choice.
   *
   * @param memoryTokens the tokens that an engine's memory holds; 0 if unknown
   */
  EngineChoice(EngineOptions options, LongSupplier memoryTokens, RandomGenerator random) {
    this.options = options;
    this.memoryTokens = memoryTokens;
    this.random = random;
    this.memory = options.memoryShare() > 0 ? new EngineMemory(options.memoryShare()) : null;
  }

  /**
   * Chooses one of the engines that {@code usable} accepts; empty if it accepts none in whose
   * memory the prompt fits.
   *
   * <p>Where only some engines are examined, the others are examined too if none of these is usable
   * and begins to answer in time.
   */
  Optional<BackendServer> choose(
      List<BackendServer> engines,
      Predicate<BackendServer> usable,
      PromptDescription prompt,
      PrefixLookup prefixes,
      Duration targetTime,
      PeerLoads loads,
      ServerHealth health) {
    refresh(engines);
    Placement placement =
        new Placement(engines, usable, prompt, prefixes, targetTime, loads, health);
    if (options.shortlist()) {
      Optional<PromptPlacement.Candidate> some = placement.amongSome();
      if (some.isPresent() && some.get().expectedMillis() <= targetTime.toMillis()) {
        lacksMemory = false;
        return placement.server(some.get());
      }
    }
    Optional<BackendServer> chosen = placement.amongAll().flatMap(placement::server);
    lacksMemory = chosen.isEmpty() && engines.stream().anyMatch(usable);
    return chosen;
  }

  /** Whether the latest choice found engines, but none in whose memory the prompt fits. */
  boolean lacksMemory() {
    return lacksMemory;
  }

  private void refresh(List<BackendServer> engines) {
    if (engines == listed) {
      return;
    }
    listed = engines;
    shortlist = new EngineShortlist(engines.stream().map(BackendServer::id).toList());
    positions.clear();
    for (int i = 0; i < engines.size(); i++) {
      positions.put(engines.get(i).id(), i);
    }
  }

  /** One prompt that is being placed. */
  private final class Placement {
    private final List<BackendServer> engines;
    private final Predicate<BackendServer> usable;
    private final PromptPlacement.Prompt prompt;
    private final PrefixLookup prefixes;
    private final PeerLoads loads;
    private final ServerHealth health;
    private final int longEngines;
    private final boolean isLong;
    private final long capacity;

    Placement(
        List<BackendServer> engines,
        Predicate<BackendServer> usable,
        PromptDescription description,
        PrefixLookup prefixes,
        Duration targetTime,
        PeerLoads loads,
        ServerHealth health) {
      this.engines = engines;
      this.usable = usable;
      this.prefixes = prefixes;
      this.loads = loads;
      this.health = health;
      this.prompt =
          new PromptPlacement.Prompt(
              description.lastSharedPartId(),
              targetTime,
              memory == null ? 0 : description.maxTokens());
      this.longEngines = options.separateLong() ? mix.enginesForLong(engines.size()) : 0;
      this.isLong = mix.isLong(rates.readMillis(description.inputTokens()));
      this.capacity = memory == null ? 0 : memoryTokens.getAsLong();
    }

    Optional<PromptPlacement.Candidate> amongSome() {
      List<PromptPlacement.Candidate> candidates = new ArrayList<>();
      for (int position : shortlist.examine(prompt.prefix(), longEngines, isLong, random)) {
        addIfUsable(position, candidates);
      }
      return PromptPlacement.chooseCandidate(candidates, prompt, random);
    }

    Optional<PromptPlacement.Candidate> amongAll() {
      List<PromptPlacement.Candidate> candidates = new ArrayList<>(engines.size());
      for (int position = 0; position < engines.size(); position++) {
        addIfUsable(position, candidates);
      }
      return PromptPlacement.chooseCandidate(candidates, prompt, random);
    }

    Optional<BackendServer> server(PromptPlacement.Candidate candidate) {
      if (!candidate.preferred()) {
        placedElsewhere++;
      }
      return Optional.ofNullable(positions.get(candidate.id())).map(engines::get);
    }

    private void addIfUsable(int position, List<PromptPlacement.Candidate> candidates) {
      BackendServer engine = engines.get(position);
      if (usable.test(engine)) {
        candidates.add(candidate(engine, position));
      }
    }

    private PromptPlacement.Candidate candidate(BackendServer engine, int position) {
      PeerLoad others = loads.at(engine.id());
      int running = engine.running() + others.running();
      long ahead = Math.max(0, engine.promptTokensAhead()) + others.promptTokensAhead();
      long uncached = prefixes.uncachedTokens(engine);
      double factor = slowness(engine);
      double expected = rates.firstTokenMillis(ahead + uncached, running);
      if (options.fitRates()) {
        expected += rates.placeMillis(running, engine.maxConcurrentRequests());
      }
      return new PromptPlacement.Candidate(
          engine.id(),
          expected * factor,
          rates.readMillis(uncached) * factor,
          prefixes.isWholePrefixCached(uncached),
          memory == null
              ? Long.MAX_VALUE
              : memory.left(
                  capacity, engine.tokensHeld(), others.running(), others.promptTokensAhead()),
          shortlist.isPreferred(position, longEngines, isLong),
          shortlist.hash(position));
    }

    /**
     * Returns how many times an average engine's time the engine takes. The fitted factor says it
     * unless the engine is far slower than all others, which the health knows sooner.
     */
    private double slowness(BackendServer engine) {
      return options.fitRates()
          ? Math.max(rates.factor(engine.id()), health.outlierSlowness(engine.id()))
          : health.slowness(engine.id());
    }
  }

  /** Records a prompt that was sent to an engine. */
  void onSent(PromptDescription prompt, long uncachedTokens, Duration targetTime, Instant now) {
    if (memory != null) {
      memory.onSent(prompt.maxTokens(), memoryTokens.getAsLong());
    }
    if (options.separateLong()) {
      mix.onPrompt(
          rates.readMillis(prompt.inputTokens()),
          rates.readMillis(uncachedTokens),
          targetTime,
          now);
    }
  }

  /** Records the first event of an answer; see {@link EngineRates#onFirstToken}. */
  void onFirstEvent(BackendServer engine, Duration took, long ahead, long uncached, int running) {
    if (options.fitRates() && running < engine.maxConcurrentRequests()) {
      rates.onFirstToken(engine.id(), took, ahead, uncached, running);
    }
  }

  /** Records how long a request was at its engine. */
  void onEnded(Duration took) {
    rates.onEnded(took);
  }

  /** Drops what is known of an engine that has restarted. */
  void forget(BackendServerId engine) {
    rates.forget(engine);
  }

  /** Drops what is known of engines that aren't listed any more. */
  void retain(Set<BackendServerId> engines) {
    rates.retain(engines);
  }

  /** The number of choices of an engine that prompts of the other length use first. */
  long placedElsewhere() {
    return placedElsewhere;
  }

  /** The microseconds in which an average engine is taken to read a token of a prompt. */
  long readMicrosPerToken() {
    return Math.round(rates.readMillis(THOUSAND));
  }
}
