package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.teaseldeal.gateway.flow.PromptPart;
import org.teaseldeal.net.HttpCall;

/**
 * A simulated inference engine that works in steps. In each step it reads one chunk of the running
 * requests' prompts and generates a token for each request whose prompt has been read in full.
 */
final class ModelEngine implements ModelServer {
  private static final class ActiveRequest {
    private final ModelRequest request;
    private final Listener listener;
    private long promptTokensLeft;
    private final long tokensBefore;
    private long generatedTokens;
    private boolean usageRecorded;

    ActiveRequest(ModelRequest request, long tokensBefore, Listener listener) {
      this.request = request;
      this.tokensBefore = tokensBefore;
      this.generatedTokens = tokensBefore;
      this.listener = listener;
    }

    private long heldTokens() {
      return request.inputTokens() + generatedTokens;
    }
  }

  private final String name;
  private final VirtualTime time;
  private final Scenario.Engines settings;
  private final double speed;
  private final TokenMeter meter;
  private final BiConsumer<ModelEngine, CrashingPart> crashListener;
  private final Deque<ActiveRequest> waiting = new ArrayDeque<>();
  private final List<ActiveRequest> running = new ArrayList<>();
  private final Map<String, Long> cache = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokens;
  private long sharedTokensRead;
  private boolean stepping;
  private boolean down;
  private long incarnation;

  /** Until this time since the start of the simulation, the engine ends no step. */
  private long silentUntilNanos;

  /**
   * Creates an engine.
   *
   * @param speed how fast the engine works, relative to {@code settings}
   * @param crashListener is called when a request has crashed the engine, and has to take it down
   */
  ModelEngine(
      String name,
      VirtualTime time,
      Scenario.Engines settings,
      double speed,
      TokenMeter meter,
      BiConsumer<ModelEngine, CrashingPart> crashListener) {
    this.crashListener = crashListener;
    this.name = name;
    this.time = time;
    this.settings = settings;
    this.speed = speed;
    this.meter = meter;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public boolean isDown() {
    return down;
  }

  /** Returns the tokens of shared prompt parts that the engine read because they weren't cached. */
  long sharedTokensRead() {
    return sharedTokensRead;
  }

  @Override
  public HttpCall run(ModelRequest request, int eventsBefore, Listener listener) {
    long tokensBefore = (long) eventsBefore * settings.tokensPerEvent();
    ActiveRequest entry = new ActiveRequest(request, tokensBefore, listener);
    waiting.add(entry);
    startStep();
    return () -> {
      waiting.remove(entry);
      running.remove(entry);
      recordUsage(entry);
    };
  }

  @Override
  public void setDown(boolean newDown) {
    down = newDown;
    incarnation++;
    silentUntilNanos = 0;
    cache.clear();
    cachedTokens = 0;
    List<ActiveRequest> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    stepping = false;
    lost.forEach(this::recordUsage);
    lost.forEach(entry -> entry.listener.onCrash());
  }

  /** Has the engine send nothing for a time; then it goes on where it was. */
  void fallSilent(Duration lasting) {
    silentUntilNanos = Math.max(silentUntilNanos, time.elapsedNanos() + lasting.toNanos());
  }

  private void startStep() {
    if (stepping || down) {
      return;
    }
    preemptBeyondMemory();
    while (running.size() < settings.maxConcurrentRequests()
        && !waiting.isEmpty()
        && hasMemoryFor(waiting.getFirst())) {
      ActiveRequest next = waiting.remove();
      next.promptTokensLeft = uncachedTokens(next.request);
      running.add(next);
    }
    if (running.isEmpty()) {
      return;
    }
    stepping = true;
    long budget = settings.chunk();
    long read = 0;
    for (ActiveRequest entry : running) {
      long part = Math.min(entry.promptTokensLeft, budget);
      entry.promptTokensLeft -= part;
      budget -= part;
      read += part;
    }
    double nanos =
        settings.step().toNanos()
            + (double) settings.stepPerRequest().toNanos() * running.size()
            + read / settings.promptTokensPerMilli() * 1e6;
    nanos /= speed;
    scheduleEndOfStep(Math.round(nanos), incarnation);
  }

  private void scheduleEndOfStep(long nanos, long incarnationAtStart) {
    time.scheduleNanos(
        nanos,
        () -> {
          long silentNanos = silentUntilNanos - time.elapsedNanos();
          if (incarnationAtStart != incarnation) {
            return;
          }
          if (silentNanos > 0) {
            scheduleEndOfStep(silentNanos, incarnationAtStart);
          } else {
            endStep();
          }
        });
  }

  /** Whether a request fits beside the running ones; an idle engine runs any request. */
  private boolean hasMemoryFor(ActiveRequest next) {
    return running.isEmpty() || heldTokens() + next.heldTokens() <= settings.memoryTokens();
  }

  private long heldTokens() {
    return running.stream().mapToLong(ActiveRequest::heldTokens).sum();
  }

  /** Sets back the requests that began last; their prompts have to be read again. */
  private void preemptBeyondMemory() {
    while (running.size() > 1 && heldTokens() > settings.memoryTokens()) {
      waiting.addFirst(running.removeLast());
    }
  }

  private void endStep() {
    stepping = false;
    for (ActiveRequest entry : List.copyOf(running)) {
      if (entry.promptTokensLeft == 0 && running.contains(entry)) {
        generateToken(entry);
      }
      if (down) {
        return;
      }
    }
    startStep();
  }

  private void generateToken(ActiveRequest entry) {
    entry.generatedTokens++;
    Optional<CrashingPart> crashingPart = entry.request.crashingPart();
    if (crashingPart.isPresent()
        && entry.generatedTokens
            > (long) crashingPart.get().eventsBeforeCrash() * settings.tokensPerEvent()) {
      crashListener.accept(this, crashingPart.get());
      return;
    }
    boolean last = entry.generatedTokens >= entry.request.outputTokens();
    if (last || entry.generatedTokens % settings.tokensPerEvent() == 0) {
      entry.listener.onBodyPart();
    }
    if (last && running.remove(entry)) {
      recordUsage(entry);
      entry.listener.onEnd();
    }
  }

  private void recordUsage(ActiveRequest entry) {
    if (!entry.usageRecorded) {
      entry.usageRecorded = true;
      long generated = entry.generatedTokens - entry.tokensBefore;
      boolean read = entry.promptTokensLeft == 0 && generated > 0;
      meter.usedTokens(
          entry.request.customer(), (read ? entry.request.inputTokens() : 0) + generated);
    }
  }

  /**
   * Returns the number of prompt tokens that have to be read: those from the first shared part that
   * is not cached to the end, and at least one. Also caches the request's shared parts.
   */
  private long uncachedTokens(ModelRequest request) {
    long tokens = request.inputTokens();
    boolean prefixCached = true;
    List<PromptPart> parts = request.parts();
    for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
      prefixCached = prefixCached && cache.containsKey(part.id());
      if (prefixCached) {
        tokens -= part.tokens();
      } else {
        sharedTokensRead += part.tokens();
      }
      cachePart(part);
    }
    return Math.max(1, tokens);
  }

  private void cachePart(PromptPart part) {
    if (cache.put(part.id(), part.tokens()) == null) {
      cachedTokens += part.tokens();
    }
    var oldest = cache.entrySet().iterator();
    while (cachedTokens > settings.cacheTokens() && oldest.hasNext()) {
      cachedTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }
}
