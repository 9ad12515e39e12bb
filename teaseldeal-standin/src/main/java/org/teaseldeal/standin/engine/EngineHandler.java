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
import org.teaseldeal.standin.fault.FaultSwitch;
import org.teaseldeal.standin.fault.SeededChance;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.LaggingView;
import org.teaseldeal.standin.runtime.RequestTarget;
import org.teaseldeal.standin.runtime.Scheduler;

/** An engine over HTTP: streams, usage, cancel, load, cache events and orders. */
public final class EngineHandler implements HttpHandler, InferenceEngine.Listener {
  private static final Duration LONGEST_LAG = Duration.ofMinutes(10);
  private static final Duration EVENT_POLL = Duration.ofMillis(20);
  private static final long MAX_WAIT_MS = 60_000;
  private static final int DEFAULT_PRIORITY = 100;
  private static final Map<String, String> EVENT_STREAM =
      Map.of("Content-Type", "text/event-stream", "Cache-Control", "no-cache");

  private final InstantSource clock;
  private final Scheduler scheduler;
  private final EngineSettings settings;
  private final FaultSwitch<EngineFaults> faults;
  private final History history;
  private final Runnable exitProcess;
  private final CacheEventLog cacheEvents;
  private final PrefixCache cache;
  private final InferenceEngine engine;
  private final OrderBook orders;
  private final LaggingView<Load> load = new LaggingView<>(LONGEST_LAG, new Load(0, 0, 0));

  /**
   * Creates the handler.
   *
   * @param exitProcess what a request does that crashes the process; it need not return
   */
  public EngineHandler(
      InstantSource clock,
      Scheduler scheduler,
      EngineSettings settings,
      FaultSwitch<EngineFaults> faults,
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
    orders = new OrderBook(settings.checksFencing());
  }

  @Override
  public void handle(HttpExchange exchange) {
    try {
      route(exchange, RequestTarget.parse(exchange.path()));
    } catch (IllegalArgumentException e) {
      Json.respondError(exchange, 400, String.valueOf(e.getMessage()));
    }
  }

  /** Requests that wait or run. */
  public int inFlight() {
    return engine.runningCount() + engine.waitingCount();
  }

  /** Fills in the state of batch and cache. */
  public void describe(ObjectNode stats) {
    stats
        .put("running", engine.runningCount())
        .put("waiting", engine.waitingCount())
        .put("iterations", engine.iterations())
        .put("cache_blocks", cache.used());
  }

  @Override
  public void started(Generation generation, int cachedTokens) {
    history.add(
        "started",
        line ->
            line.put("request", generation.request().requestId())
                .put("prompt_tokens", generation.promptTokens().size())
                .put("cached_tokens", cachedTokens));
  }

  @Override
  public void ended(Generation generation) {
    history.add(
        generation.state().label(),
        line ->
            line.put("request", generation.request().requestId())
                .put("prompt_tokens", generation.usage().promptTokens())
                .put("completion_tokens", generation.usage().completionTokens()));
  }

  @Override
  public void crashed(Generation generation) {
    history.add("crashed", line -> line.put("request", generation.request().requestId()));
    if (faults.current().crashMode() == CrashMode.EXIT) {
      exitProcess.run();
    }
    engine.forgetAll();
  }

  @Override
  public void loadChanged(int running, int waiting) {
    load.set(clock.instant(), new Load(running, waiting, cache.share()));
  }

  private void route(HttpExchange exchange, RequestTarget target) {
    String method = exchange.method();
    if (method.equals("POST") && target.matches("v1", "chat", "completions")) {
      complete(exchange);
    } else if (method.equals("GET") && target.matches("v1", "requests", "*", "stream")) {
      resume(exchange, target);
    } else if (target.matches("v1", "requests", "*")) {
      request(exchange, target.segments().get(2));
    } else if (method.equals("GET") && target.matches("load")) {
      answerLoad(exchange);
    } else if (method.equals("GET") && target.matches("cache-events")) {
      awaitCacheEvents(exchange, target);
    } else if (method.equals("POST") && target.matches("orders")) {
      order(exchange);
    } else if (method.equals("GET") && target.matches("orders", "state")) {
      Json.respond(exchange, 200, orders.toJson());
    } else {
      Json.respondError(exchange, 404, "no such resource: " + method + " " + exchange.path());
    }
  }

  private void complete(HttpExchange exchange) {
    String requestId = required(exchange, "Request-Id");
    String attemptId = required(exchange, "Attempt-Id");
    if (faults.strikes(faults.current().silentRequestShare())) {
      history.add("silent-request", line -> line.put("request", requestId));
      return;
    }
    Optional<Generation> known = engine.find(requestId);
    if (known.isPresent()) {
      history.add("attached", line -> line.put("request", requestId).put("attempt", attemptId));
      stream(exchange, known.get(), attemptId, 0);
      return;
    }
    if (refused(exchange, requestId)) {
      return;
    }
    ChatRequest chat = ChatRequest.read(Json.readObject(exchange.body()));
    Generation generation = submit(exchange, requestId, attemptId, chat);
    stream(exchange, generation, attemptId, 0);
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
            chat.wantedTokens(requestId, settings.answers())));
  }

  private boolean refused(HttpExchange exchange, String requestId) {
    if (faults.strikes(faults.current().refuseShare())) {
      history.add("refused", line -> line.put("request", requestId));
      Json.respondError(exchange, 503, "refused by a fault setting; not run");
      return true;
    }
    if (!engine.hasRoom()) {
      history.add("full", line -> line.put("request", requestId));
      Json.respondError(exchange, 429, "as many requests wait as may; not run");
      return true;
    }
    return false;
  }

  private void resume(HttpExchange exchange, RequestTarget target) {
    String attemptId = required(exchange, "Attempt-Id");
    String requestId = target.segments().get(2);
    long from = target.number("from", 0);
    Optional<Generation> known = engine.find(requestId);
    if (known.isEmpty()) {
      Json.respondError(exchange, 404, "no such request: " + requestId);
      return;
    }
    if (from > known.get().request().frames()) {
      throw new IllegalArgumentException(
          "from was %d, expected up to %d".formatted(from, known.get().request().frames()));
    }
    history.add(
        "resumed",
        line -> line.put("request", requestId).put("attempt", attemptId).put("from", from));
    stream(exchange, known.get(), attemptId, (int) from);
  }

  private void stream(HttpExchange exchange, Generation generation, String attemptId, int from) {
    if (faults.strikes(faults.current().silentAnswerShare())) {
      history.add("silent-answer", line -> line.put("request", generation.request().requestId()));
      return;
    }
    ResponseStream stream = exchange.startStream(200, EVENT_STREAM);
    GenerationRequest request = generation.request();
    SseSink.AnswerHead head =
        new SseSink.AnswerHead(
            request.requestId(),
            attemptId,
            request.model(),
            clock.instant().getEpochSecond(),
            request.cutByLimit() ? "length" : "stop");
    SseSink sink = new SseSink(stream, head, faults, this::noteFault);
    generation.attach(sink, from);
    // The request runs on without a reader, so that it can be resumed through another instance.
    exchange.onCallerDisconnect(
        () -> scheduler.schedule(Duration.ZERO, () -> generation.detach(sink)));
  }

  private void noteFault(String fault, SseSink.AnswerHead head) {
    history.add(
        fault, line -> line.put("request", head.requestId()).put("attempt", head.attemptId()));
  }

  private void request(HttpExchange exchange, String requestId) {
    boolean cancel = exchange.method().equals("DELETE");
    if (!cancel && !exchange.method().equals("GET")) {
      Json.respondError(exchange, 405, "expected GET or DELETE");
      return;
    }
    Optional<Generation> known = engine.find(requestId);
    if (known.isEmpty()) {
      Json.respondError(exchange, 404, "no such request: " + requestId);
      return;
    }
    if (cancel) {
      engine.cancel(known.get());
    }
    Json.respond(exchange, 200, stateJson(known.get()));
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
    Load then = load.at(asOf);
    Json.respond(
        exchange,
        200,
        Json.object()
            .put("running", then.running())
            .put("waiting", then.waiting())
            .put("cache_use", then.cacheUse())
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
      scheduler.schedule(EVENT_POLL, () -> pollCacheEvents(exchange, from, deadline));
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

  private void order(HttpExchange exchange) {
    ObjectNode body = Json.readObject(exchange.body());
    long fencing = body.path("fencing").asLong(-1);
    OrderKind kind = OrderKind.parse(body.path("kind").asText(""));
    String orderTarget = body.path("target").asText("");
    boolean taken = orders.take(fencing, kind, orderTarget, body.path("version").asText(""));
    history.add(taken ? "order" : "order-refused", line -> line.set("order", body));
    if (taken) {
      Json.respond(exchange, 200, orders.toJson());
    } else {
      Json.respond(exchange, 409, Json.object().put("highest", orders.highest()));
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

  private record Load(int running, int waiting, double cacheUse) {}
}
