package org.teaseldeal.standin.service;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.Sha256;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.AttemptNames;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.Scheduler;

/**
 * A plain service, which counts how often each call is run and echoes the call in its answer.
 *
 * <p>A call is run, and counted, when its latency has passed, just before it is answered.
 */
public final class PlainServiceHandler implements HttpHandler {
  private final Scheduler scheduler;
  private final PlainServiceSettings settings;
  private final ActiveFaults<ServiceFaults> faults;
  private final History history;
  private final RandomGenerator random;
  private final RunCounts runs = new RunCounts();
  private int running;

  public PlainServiceHandler(
      Scheduler scheduler,
      PlainServiceSettings settings,
      ActiveFaults<ServiceFaults> faults,
      History history) {
    this.scheduler = scheduler;
    this.settings = settings;
    this.faults = faults;
    this.history = history;
    this.random = new SplittableRandom(faults.current().seed());
  }

  @Override
  public void handle(HttpExchange exchange) {
    Call call = Call.of(exchange);
    if (rejected(call)) {
      return;
    }
    running++;
    scheduler.schedule(latency(), () -> run(call));
  }

  /** Returns the number of calls that were accepted and not run yet. */
  public int inFlight() {
    return running;
  }

  /** Adds the number of runs of each request and of each idempotency key to {@code answer}. */
  public void describeRuns(ObjectNode answer) {
    runs.describe(answer);
  }

  private boolean rejected(Call call) {
    ServiceFaults current = faults.current();
    if (faults.shouldInject(current.silentBeforeShare())) {
      recordEvent("silent-before", call);
      return true;
    }
    if (faults.shouldInject(current.closeBeforeShare())) {
      recordEvent("closed-before", call);
      call.exchange.abort();
      return true;
    }
    if (running >= settings.maxRunning() || faults.shouldInject(current.refuseShare())) {
      recordEvent("refused", call);
      call.exchange.respond(
          503, AttemptNames.headers(call.exchange, Map.of("Not-Run", "true")), new byte[0]);
      return true;
    }
    return false;
  }

  private Duration latency() {
    long jitterNanos = random.nextLong(settings.jitter().toNanos() + 1);
    return settings.latency().plusMillis(faults.current().latencyMs()).plusNanos(jitterNanos);
  }

  private void run(Call call) {
    running--;
    int count = runs.count(call.requestId, call.key);
    recordEvent("ran", call);
    ServiceFaults current = faults.current();
    if (faults.shouldInject(current.silentAfterShare())) {
      recordEvent("silent-after", call);
    } else if (faults.shouldInject(current.closeAfterShare())) {
      recordEvent("closed-after", call);
      call.exchange.abort();
    } else if (faults.shouldInject(current.failShare())) {
      recordEvent("failed", call);
      Json.respondError(call.exchange, 500, "failed by a fault setting; ran");
    } else {
      Json.respond(call.exchange, 200, answer(call, count));
    }
  }

  private static ObjectNode answer(Call call, int count) {
    byte[] body = call.exchange.body();
    return Json.object()
        .put("request", call.requestId)
        .put("attempt", call.attemptId)
        .put("method", call.exchange.method())
        .put("path", call.exchange.path())
        .put("body_sha256", Sha256.hex(body))
        .put("body", new String(body, StandardCharsets.UTF_8))
        .put("runs", count);
  }

  private void recordEvent(String kind, Call call) {
    history.add(
        kind,
        line ->
            line.put("request", call.requestId)
                .put("attempt", call.attemptId)
                .put("key", call.key)
                .put("method", call.exchange.method())
                .put("path", call.exchange.path()));
  }

  private record Call(HttpExchange exchange, String requestId, String attemptId, String key) {
    static Call of(HttpExchange exchange) {
      return new Call(
          exchange,
          exchange.header("Request-Id").orElse(""),
          exchange.header("Attempt-Id").orElse(""),
          exchange.header("Idempotency-Key").orElse(""));
    }
  }
}
