package org.teaseldeal.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.teaseldeal.gateway.flow.PromptPart;
import org.teaseldeal.net.HttpCall;

/**
 * A model engine that works in steps: in each it reads a chunk of the prompts that wait and
 * generates a token for each request that is read.
 */
final class ModelEngine implements ModelServer {
  private static final class Running {
    private final ModelRequest request;
    private final Listener listener;
    private long left;
    private long generated;
    private boolean counted;

    Running(ModelRequest request, Listener listener) {
      this.request = request;
      this.listener = listener;
    }
  }

  private final String name;
  private final VirtualTime time;
  private final Scenario.Engines terms;
  private final TokenMeter meter;
  private final Deque<Running> waiting = new ArrayDeque<>();
  private final List<Running> running = new ArrayList<>();
  private final Map<String, Long> cache = new LinkedHashMap<>(64, 0.75f, true);
  private long cachedTokens;
  private long readAgainTokens;
  private boolean stepping;
  private boolean down;
  private long incarnation;

  ModelEngine(String name, VirtualTime time, Scenario.Engines terms, TokenMeter meter) {
    this.name = name;
    this.time = time;
    this.terms = terms;
    this.meter = meter;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public boolean down() {
    return down;
  }

  /** Tokens of shared parts that it has read. */
  long sharedTokensRead() {
    return readAgainTokens;
  }

  @Override
  public HttpCall run(ModelRequest request, Listener listener) {
    Running entry = new Running(request, listener);
    waiting.add(entry);
    step();
    return () -> {
      waiting.remove(entry);
      running.remove(entry);
      charge(entry);
    };
  }

  @Override
  public void crash(boolean isDown) {
    down = isDown;
    incarnation++;
    cache.clear();
    cachedTokens = 0;
    List<Running> lost = new ArrayList<>(running);
    lost.addAll(waiting);
    running.clear();
    waiting.clear();
    stepping = false;
    lost.forEach(this::charge);
    lost.forEach(each -> each.listener.onBroken());
  }

  private void step() {
    if (stepping || down) {
      return;
    }
    while (running.size() < terms.places() && !waiting.isEmpty()) {
      Running next = waiting.remove();
      next.left = uncached(next.request);
      running.add(next);
    }
    if (running.isEmpty()) {
      return;
    }
    stepping = true;
    long budget = terms.chunk();
    long read = 0;
    for (Running each : running) {
      long part = Math.min(each.left, budget);
      each.left -= part;
      budget -= part;
      read += part;
    }
    double nanos =
        terms.step().toNanos()
            + (double) terms.stepPerPlace().toNanos() * running.size()
            + read / terms.promptTokensPerMilli() * 1e6;
    long born = incarnation;
    time.afterNanos(
        Math.round(nanos),
        () -> {
          if (born == incarnation) {
            endStep();
          }
        });
  }

  private void endStep() {
    stepping = false;
    for (Running each : List.copyOf(running)) {
      if (each.left == 0 && running.contains(each)) {
        generate(each);
      }
    }
    step();
  }

  private void generate(Running each) {
    each.generated++;
    boolean last = each.generated >= each.request.outputTokens();
    if (last || each.generated % terms.tokensPerEvent() == 0) {
      each.listener.onPart();
    }
    if (last && running.remove(each)) {
      charge(each);
      each.listener.onEnd();
    }
  }

  private void charge(Running ended) {
    if (!ended.counted) {
      ended.counted = true;
      boolean read = ended.left == 0 && ended.generated > 0;
      meter.used(
          ended.request.customer(), (read ? ended.request.inputTokens() : 0) + ended.generated);
    }
  }

  /** What has to be read: all behind the first shared part that isn't cached. */
  private long uncached(ModelRequest request) {
    long tokens = request.inputTokens();
    boolean held = true;
    List<PromptPart> parts = request.parts();
    for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
      held = held && cache.containsKey(part.id());
      if (held) {
        tokens -= part.tokens();
      } else {
        readAgainTokens += part.tokens();
      }
      keep(part);
    }
    return Math.max(1, tokens);
  }

  private void keep(PromptPart part) {
    if (cache.put(part.id(), part.tokens()) == null) {
      cachedTokens += part.tokens();
    }
    var oldest = cache.entrySet().iterator();
    while (cachedTokens > terms.cacheTokens() && oldest.hasNext()) {
      cachedTokens -= oldest.next().getValue();
      oldest.remove();
    }
  }
}
