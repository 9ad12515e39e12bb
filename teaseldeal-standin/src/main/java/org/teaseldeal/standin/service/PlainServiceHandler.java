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
import org.teaseldeal.standin.fault.FaultSwitch;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.Scheduler;

/**
 * A plain service: each call has an effect, which is counted, and is answered with what was sent.
 *
 * <p>The effect comes at the call's end, just before its answer.
 */
public final class PlainServiceHandler implements HttpHandler {
  private final Scheduler scheduler;
  private final PlainServiceSettings settings;
  private final FaultSwitch<ServiceFaults> faults;
  private final History history;
  private final RandomGenerator random;
  private final RunCounts runs = new RunCounts();
  private int running;

  public PlainServiceHandler(
      Scheduler scheduler,
      PlainServiceSettings settings,
      FaultSwitch<ServiceFaults> faults,
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
    if (turnedAway(call)) {
      return;
    }
    running++;
    scheduler.schedule(latency(), () -> run(call));
  }

  /** Calls under way. */
  public int inFlight() {
    return running;
  }

  /** Fills in how often each request and each key was run. */
  public void describeRuns(ObjectNode answer) {
    runs.describe(answer);
  }

  private boolean turnedAway(Call call) {
    ServiceFaults current = faults.current();
    if (faults.strikes(current.silentBeforeShare())) {
      note("silent-before", call);
      return true;
    }
    if (faults.strikes(current.closeBeforeShare())) {
      note("closed-before", call);
      call.exchange.abort();
      return true;
    }
    if (running >= settings.maxRunning() || faults.strikes(current.refuseShare())) {
      note("refused", call);
      call.exchange.respond(503, Map.of("Not-Run", "true"), new byte[0]);
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
    note("ran", call);
    ServiceFaults current = faults.current();
    if (faults.strikes(current.silentAfterShare())) {
      note("silent-after", call);
    } else if (faults.strikes(current.closeAfterShare())) {
      note("closed-after", call);
      call.exchange.abort();
    } else if (faults.strikes(current.failShare())) {
      note("failed", call);
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

  private void note(String kind, Call call) {
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
