package org.teaseldeal.standin.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.Scheduler;

/**
 * Simulates an inference engine with continuous batching. Each iteration generates one frame for
 * every running request. Waiting requests are admitted between iterations while the batch has
 * capacity, ordered by priority and then by arrival.
 *
 * <p>The duration of an iteration grows with the number of running requests and with the number of
 * uncached prompt tokens of the requests that were just admitted.
 */
final class InferenceEngine {
  private static final Comparator<Generation> SCHEDULING_ORDER =
      Comparator.comparingInt((Generation generation) -> generation.request().priority())
          .thenComparingLong(Generation::arrival);

  private final InstantSource clock;
  private final Scheduler scheduler;
  private final EngineSettings settings;
  private final ActiveFaults<EngineFaults> faults;
  private final PrefixCache cache;
  private final Listener listener;
  private final Map<String, Generation> generations = new HashMap<>();
  private final PriorityQueue<Generation> waiting = new PriorityQueue<>(SCHEDULING_ORDER);
  private final List<Generation> running = new ArrayList<>();
  private final Deque<EndedGeneration> recentlyEnded = new ArrayDeque<>();
  private long arrivalCount;
  private boolean iterating;
  private long iterationCount;

  InferenceEngine(
      InstantSource clock,
      Scheduler scheduler,
      EngineSettings settings,
      ActiveFaults<EngineFaults> faults,
      PrefixCache cache,
      Listener listener) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.settings = settings;
    this.faults = faults;
    this.cache = cache;
    this.listener = listener;
  }

  /** Returns whether one more request can be accepted. */
  boolean hasCapacity() {
    EngineSettings.Batch batch = settings.batch();
    return running.size() + waiting.size() < batch.maxRunning() + batch.maxWaiting();
  }

  /** Accepts a request, whose id must be new to the engine. */
  Generation submit(GenerationRequest request) {
    Generation generation = new Generation(request, arrivalCount);
    arrivalCount++;
    generations.put(request.requestId(), generation);
    waiting.add(generation);
    listener.onLoadChanged(running.size(), waiting.size());
    beginIteration();
    return generation;
  }

  Optional<Generation> find(String requestId) {
    removeExpired();
    return Optional.ofNullable(generations.get(requestId));
  }

  /** Cancels a request; has no effect if it has ended. */
  void cancel(Generation generation) {
    if (generation.state().ended()) {
      return;
    }
    waiting.remove(generation);
    running.remove(generation);
    generation.cancel();
    recordEnd(generation);
  }

  /** Drops all requests and the cache, as a crash does. */
  void reset() {
    List<Generation> lost = List.copyOf(generations.values());
    generations.clear();
    waiting.clear();
    running.clear();
    recentlyEnded.clear();
    cache.clear();
    lost.stream().filter(generation -> !generation.state().ended()).forEach(Generation::cancel);
    listener.onLoadChanged(0, 0);
  }

  int runningCount() {
    return running.size();
  }

  int waitingCount() {
    return waiting.size();
  }

  long iterations() {
    return iterationCount;
  }

  private void beginIteration() {
    if (iterating) {
      return;
    }
    int uncached = admit();
    if (running.isEmpty()) {
      return;
    }
    iterating = true;
    scheduler.schedule(iterationTime(uncached), this::endIteration);
  }

  private int admit() {
    int uncached = 0;
    while (running.size() < settings.batch().maxRunning() && !waiting.isEmpty()) {
      Generation generation = waiting.remove();
      running.add(generation);
      generation.start();
      int cached = cache.matchAndStore(generation.promptTokens());
      uncached += generation.promptTokens().size() - cached;
      listener.onStarted(generation, cached);
    }
    listener.onLoadChanged(running.size(), waiting.size());
    return uncached;
  }

  private Duration iterationTime(int uncachedTokens) {
    EngineSettings.Batch batch = settings.batch();
    double micros =
        batch.iterationMicros()
            + (double) batch.perRequestMicros() * running.size()
            + (double) batch.prefillTokenMicros() * uncachedTokens;
    return Duration.ofNanos((long) (micros * faults.current().slowFactor() * 1_000));
  }

  private void endIteration() {
    iterating = false;
    iterationCount++;
    for (Generation generation : List.copyOf(running)) {
      // A request whose frame crashes the engine also removes the rest of the batch.
      if (running.contains(generation)) {
        step(generation);
      }
    }
    removeExpired();
    beginIteration();
  }

  private void step(Generation generation) {
    EngineFaults current = faults.current();
    if (current.crashes(generation.request().prompt())
        && generation.frames() >= current.crashAfterFrames()) {
      listener.onCrash(generation);
      return;
    }
    if (generation.generateFrame()) {
      running.remove(generation);
      recordEnd(generation);
    }
  }

  private void recordEnd(Generation generation) {
    recentlyEnded.add(new EndedGeneration(clock.instant(), generation));
    listener.onEnded(generation);
    listener.onLoadChanged(running.size(), waiting.size());
  }

  private void removeExpired() {
    Instant limit = clock.instant().minus(settings.answers().retention());
    while (!recentlyEnded.isEmpty() && recentlyEnded.element().at.isBefore(limit)) {
      generations.remove(recentlyEnded.remove().generation.request().requestId());
    }
  }

  private record EndedGeneration(Instant at, Generation generation) {}

  /** Receives the events of the engine's requests. */
  interface Listener {
    void onStarted(Generation generation, int cachedTokens);

    void onEnded(Generation generation);

    /** Called if a request crashes the engine; the listener carries out the crash. */
    void onCrash(Generation generation);

    void onLoadChanged(int running, int waiting);
  }
}
