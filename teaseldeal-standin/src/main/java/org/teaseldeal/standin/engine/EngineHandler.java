package org.teaseldeal.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.fault.SeededChance;
import org.teaseldeal.standin.runtime.AttemptNames;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.LaggedValue;
import org.teaseldeal.standin.runtime.RequestTarget;
import org.teaseldeal.standin.runtime.Scheduler;

/** Serves an engine over HTTP: streams, usage, cancellation, load, cache events and orders. */
public final class EngineHandler implements HttpHandler, InferenceEngine.Listener {
  private static final Duration MAX_LAG = Duration.ofMinutes(10);
  private static final Duration EVENT_POLL_INTERVAL = Duration.ofMillis(20);
  private static final long MAX_WAIT_MS = 60_000;
  private static final int DEFAULT_PRIORITY = 100;
  private static final Map<String, String> EVENT_STREAM_HEADERS =
      Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache");

  private final InstantSource clock;
  private final Scheduler scheduler;
  private final EngineSettings settings;
  private final ActiveFaults<EngineFaults> faults;
  private final History history;
  private final Runnable exitProcess;
  private final CacheEventLog cacheEvents;
  private final PrefixCache cache;
  private final InferenceEngine engine;
  private final EngineConfiguration configuration;
  private final LaggedValue<LoadSnapshot> loadHistory =
      new LaggedValue<>(MAX_LAG, new LoadSnapshot(0, 0, 0));

  /**
   * Creates the handler.
   *
   * @param exitProcess ends the process after a request that crashes it; need not return
   */
  public EngineHandler(
      InstantSource clock,
      Scheduler scheduler,
      EngineSettings settings,
      ActiveFaults<EngineFaults> faults,
      History history,
      Runnable exitProcess) {
    this.clock = clock;
    this.scheduler = scheduler;
    this.settings = settings;
    this.faults = faults;
    this.history = history;
    this.exitProcess = exitProcess;
    EngineSettings.Cache cacheSettings = settings.cache();
    cacheEvents =
        new CacheEventLog(
            clock,
            cacheSettings.eventLag(),
            cacheSettings.eventLossShare(),
            new SeededChance(faults.current().seed()));
    cache = new PrefixCache(cacheSettings.blocks(), cacheSettings.blockTokens(), cacheEvents);
    engine = new InferenceEngine(clock, scheduler, settings, faults, cache, this);
    configuration = new EngineConfiguration(settings.checksFencing());
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange, RequestTarget.parse(exchange.path()));
    } catch (IllegalArgumentException e) {
      Json.respondError(exchange, 400, String.valueOf(e.getMessage()));
    }
  }

  /** Returns the number of requests that are waiting or running. */
  public int inFlight() {
    return engine.runningCount() + engine.waitingCount();
  }

  /** Adds the state of batch and cache to {@code stats}. */
  public void describe(ObjectNode stats) {
    stats
        .put("running", engine.runningCount())
        .put("waiting", engine.waitingCount())
        .put("iterations", engine.iterations())
        .put("cache_blocks", cache.blockCount());
  }

  @Override
  public void onStarted(Generation generation, int cachedTokens) {
    history.add(
        "started",
        line ->
            line.put("request", generation.request().requestId())
                .put("prompt_tokens", generation.promptTokens().size())
                .put("cached_tokens", cachedTokens));
  }

  @Override
  public void onEnded(Generation generation) {
    history.add(
        generation.state().label(),
        line ->
            line.put("request", generation.request().requestId())
                .put("prompt_tokens", generation.usage().promptTokens())
                .put("completion_tokens", generation.usage().completionTokens()));
  }

  @Override
  public void onCrash(Generation generation) {
    history.add("crashed", line -> line.put("request", generation.request().requestId()));
    if (faults.current().crashMode() == CrashMode.EXIT) {
      exitProcess.run();
    }
    engine.reset();
  }

  @Override
  public void onLoadChanged(int running, int waiting) {
    loadHistory.set(clock.instant(), new LoadSnapshot(running, waiting, cache.fillRatio()));
  }

  private void route(HttpExchange exchange, RequestTarget target) {
    String method = exchange.method();
    if (method.equals("POST") && target.matches("v1", "chat", "completions")) {
      handleCompletion(exchange);
    } else if (method.equals("GET") && target.matches("v1", "requests", "*", "stream")) {
      handleResume(exchange, target);
    } else if (target.matches("v1", "requests", "*")) {
      handleRequestResource(exchange, target.segments().get(2));
    } else if (method.equals("GET") && target.matches("load")) {
      answerLoad(exchange);
    } else if (method.equals("GET") && target.matches("cache-events")) {
      awaitCacheEvents(exchange, target);
    } else if (method.equals("POST") && target.matches("orders")) {
      handleOrder(exchange);
    } else if (method.equals("GET") && target.matches("orders", "state")) {
      Json.respond(exchange, 200, configuration.toJson());
    } else {
      Json.respondError(exchange, 404, "no such resource: " + method + " " + exchange.path());
    }
  }

  private void handleCompletion(HttpExchange exchange) {
    String requestId = required(exchange, "Request-Id");
    String attemptId = required(exchange, "Attempt-Id");
    if (faults.shouldInject(faults.current().silentRequestShare())) {
      history.add("silent-request", line -> line.put("request", requestId));
      return;
    }
    Optional<Generation> existing = engine.find(requestId);
    if (existing.isPresent()) {
      history.add("attached", line -> line.put("request", requestId).put("attempt", attemptId));
      streamAnswer(exchange, existing.get(), attemptId, 0);
      return;
    }
    if (rejected(exchange, requestId)) {
      return;
    }
    ChatRequest chat = ChatRequest.read(Json.readObject(exchange.body()));
    Generation generation = submit(exchange, requestId, attemptId, chat);
    streamAnswer(exchange, generation, attemptId, 0);
  }

  private Generation submit(
      HttpExchange exchange, String requestId, String attemptId, ChatRequest chat) {
    history.add("submitted", line -> line.put("request", requestId).put("attempt", attemptId));
    return engine.submit(
        new GenerationRequest(
            requestId,
            chat.model(),
            chat.prompt(),
            priority(exchange),
            chat.maxTokens(),
            chat.requestedTokens(requestId, settings.answers())));
  }

  private boolean rejected(HttpExchange exchange, String requestId) {
    if (faults.shouldInject(faults.current().refuseShare())) {
      history.add("refused", line -> line.put("request", requestId));
      Json.respondError(exchange, 503, "refused by a fault setting; not run");
      return true;
    }
    if (!engine.hasCapacity()) {
      history.add("full", line -> line.put("request", requestId));
      Json.respondError(exchange, 429, "as many requests wait as may; not run");
      return true;
    }
    return false;
  }

  private void handleResume(HttpExchange exchange, RequestTarget target) {
    String attemptId = required(exchange, "Attempt-Id");
    String requestId = target.segments().get(2);
    long from = target.number("from", 0);
    Optional<Generation> existing = engine.find(requestId);
    if (existing.isEmpty()) {
      Json.respondError(exchange, 404, "no such request: " + requestId);
      return;
    }
    if (from > existing.get().request().frames()) {
      throw new IllegalArgumentException(
          "from was %d, expected up to %d".formatted(from, existing.get().request().frames()));
    }
    history.add(
        "resumed",
        line -> line.put("request", requestId).put("attempt", attemptId).put("from", from));
    streamAnswer(exchange, existing.get(), attemptId, (int) from);
  }

  private void streamAnswer(
      HttpExchange exchange, Generation generation, String attemptId, int from) {
    if (faults.shouldInject(faults.current().silentAnswerShare())) {
      history.add("silent-answer", line -> line.put("request", generation.request().requestId()));
      return;
    }
    ResponseStream stream =
        exchange.startStream(200, AttemptNames.headers(exchange, EVENT_STREAM_HEADERS));
    GenerationRequest request = generation.request();
    SseSink.AnswerMetadata metadata =
        new SseSink.AnswerMetadata(
            request.requestId(),
            attemptId,
            request.model(),
            clock.instant().getEpochSecond(),
            request.truncated() ? "length" : "stop");
    SseSink sink = new SseSink(stream, metadata, faults, this::recordFault);
    generation.attach(sink, from);
    // The request keeps running without a reader, so that another instance can resume its stream.
    exchange.onCallerDisconnect(
        () -> scheduler.schedule(Duration.ZERO, () -> generation.detach(sink)));
  }

  private void recordFault(String fault, SseSink.AnswerMetadata metadata) {
    history.add(
        fault,
        line -> line.put("request", metadata.requestId()).put("attempt", metadata.attemptId()));
  }

  private void handleRequestResource(HttpExchange exchange, String requestId) {
    boolean cancel = exchange.method().equals("DELETE");
    if (!cancel && !exchange.method().equals("GET")) {
      Json.respondError(exchange, 405, "expected GET or DELETE");
      return;
    }
    Optional<Generation> existing = engine.find(requestId);
    if (existing.isEmpty()) {
      Json.respondError(exchange, 404, "no such request: " + requestId);
      return;
    }
    if (cancel) {
      engine.cancel(existing.get());
    }
    Json.respond(exchange, 200, stateJson(existing.get()));
  }

  private static ObjectNode stateJson(Generation generation) {
    EngineUsage usage = generation.usage();
    ObjectNode state = Json.object().put("state", generation.state().label());
    state
        .putObject("usage")
        .put("prompt_tokens", usage.promptTokens())
        .put("completion_tokens", usage.completionTokens());
    return state;
  }

  private void answerLoad(HttpExchange exchange) {
    if (faults.current().silentLoad()) {
      return;
    }
    Instant asOf = clock.instant().minus(settings.loadLag());
    LoadSnapshot reported = loadHistory.at(asOf);
    Json.respond(
        exchange,
        200,
        Json.object()
            .put("running", reported.running())
            .put("waiting", reported.waiting())
            .put("cache_use", reported.cacheUse())
            .put("as_of", asOf.toString()));
  }

  private void awaitCacheEvents(HttpExchange exchange, RequestTarget target) {
    long from = target.number("from", 0);
    long waitMs = Math.min(target.number("wait_ms", 0), MAX_WAIT_MS);
    pollCacheEvents(exchange, from, clock.instant().plusMillis(waitMs));
  }

  private void pollCacheEvents(HttpExchange exchange, long from, Instant deadline) {
    List<CacheEvent> events = cacheEvents.read(from);
    if (events.isEmpty() && clock.instant().isBefore(deadline)) {
      scheduler.schedule(EVENT_POLL_INTERVAL, () -> pollCacheEvents(exchange, from, deadline));
      return;
    }
    ObjectNode answer = Json.object();
    ArrayNode list = answer.putArray("events");
    events.forEach(event -> list.add(eventJson(event)));
    answer.put("next", events.isEmpty() ? from : events.getLast().seq() + 1);
    Json.respond(exchange, 200, answer);
  }

  private static ObjectNode eventJson(CacheEvent event) {
    return Json.object()
        .put("seq", event.seq())
        .put("kind", event.stored() ? "stored" : "removed")
        .put("block", HexFormat.of().toHexDigits(event.block()));
  }

  private void handleOrder(HttpExchange exchange) {
    ObjectNode body = Json.readObject(exchange.body());
    long fencing = body.path("fencing").asLong(-1);
    OrderKind kind = OrderKind.parse(body.path("kind").asText(""));
    String orderTarget = body.path("target").asText("");
    boolean applied =
        configuration.apply(fencing, kind, orderTarget, body.path("version").asText(""));
    history.add(applied ? "order" : "order-refused", line -> line.set("order", body));
    if (applied) {
      Json.respond(exchange, 200, configuration.toJson());
    } else {
      Json.respond(exchange, 409, Json.object().put("highest", configuration.highestFencing()));
    }
  }

  private static int priority(HttpExchange exchange) {
    return exchange.header("Priority").map(EngineHandler::parsePriority).orElse(DEFAULT_PRIORITY);
  }

  private static int parsePriority(String text) {
    try {
      return Integer.parseInt(text.trim());
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException(
          "Priority was '%s', expected a whole number".formatted(text), e);
    }
  }

  private static String required(HttpExchange exchange, String header) {
    return exchange
        .header(header)
        .orElseThrow(() -> new IllegalArgumentException("header %s was absent".formatted(header)));
  }

  private record LoadSnapshot(int running, int waiting, double cacheUse) {}
}
