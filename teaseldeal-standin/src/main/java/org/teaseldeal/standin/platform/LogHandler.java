package org.teaseldeal.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.Base64;
import java.util.Map;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.standin.admin.History;
import org.teaseldeal.standin.fault.ActiveFaults;
import org.teaseldeal.standin.runtime.Cancellable;
import org.teaseldeal.standin.runtime.Json;
import org.teaseldeal.standin.runtime.RequestTarget;
import org.teaseldeal.standin.runtime.Scheduler;

/** Serves appends and reads of the log over HTTP, and injects the log's faults. */
final class LogHandler {
  private static final long MAX_WAIT_MS = 60_000;
  private static final long DEFAULT_MAX_RECORDS = 1_000;
  private static final long MAX_RECORDS = 10_000;

  private final LogService log;
  private final int maxRecordBytes;
  private final Scheduler scheduler;
  private final ActiveFaults<PlatformFaults> faults;
  private final History history;

  LogHandler(
      LogService log,
      int maxRecordBytes,
      Scheduler scheduler,
      ActiveFaults<PlatformFaults> faults,
      History history) {
    this.log = log;
    this.maxRecordBytes = maxRecordBytes;
    this.scheduler = scheduler;
    this.faults = faults;
    this.history = history;
  }

  void handle(HttpExchange exchange, RequestTarget target) {
    if (faults.current().logSilent()) {
      history.add("log-silent", line -> line.put("method", exchange.method()));
      return;
    }
    if (faults.current().logOutage()) {
      history.add("log-outage", line -> line.put("method", exchange.method()));
      Json.respondError(exchange, 503, "the log is down");
      return;
    }
    switch (exchange.method()) {
      case "POST" -> runAfter(faults.current().appendLatencyMs(), () -> append(exchange, target));
      case "GET" -> runAfter(faults.current().readLatencyMs(), () -> read(exchange, target));
      default -> Json.respondError(exchange, 405, "expected GET or POST");
    }
  }

  private void append(HttpExchange exchange, RequestTarget target) {
    String stream = target.segments().get(1);
    int length = exchange.body().length;
    if (length > maxRecordBytes) {
      Json.respondError(
          exchange,
          413,
          "record had %d octets, expected up to %d".formatted(length, maxRecordBytes));
      return;
    }
    if (!log.tryAcquireAppend()) {
      history.add("append-refused", line -> line.put("stream", stream));
      respondOverRate(exchange);
      return;
    }
    long offset = log.append(stream, exchange.body());
    answerAppend(exchange, stream, offset);
  }

  // Faults that lose the answer are injected after the record was stored, so the client gets no
  // answer to an append that took effect.
  private void answerAppend(HttpExchange exchange, String stream, long offset) {
    if (faults.shouldInject(faults.current().lostAnswerShare())) {
      history.add("append-answer-lost", line -> line.put("stream", stream).put("offset", offset));
      exchange.abort();
      return;
    }
    if (faults.shouldInject(faults.current().silentAnswerShare())) {
      history.add("append-answer-silent", line -> line.put("stream", stream).put("offset", offset));
      return;
    }
    history.add("append", line -> line.put("stream", stream).put("offset", offset));
    Json.respond(exchange, 200, Json.object().put("offset", offset));
  }

  private void respondOverRate(HttpExchange exchange) {
    long millis = Math.max(1, log.timeUntilNextAppend().toMillis());
    byte[] body = Json.bytes(Json.object().put("error", "over the append rate"));
    exchange.respond(
        429,
        Map.of(
            "Content-Type",
            "application/json",
            "Retry-After",
            String.valueOf(Math.ceilDiv(millis, 1_000))),
        body);
  }

  private void read(HttpExchange exchange, RequestTarget target) {
    long from = target.number("from", 0);
    int max = (int) Math.clamp(target.number("max", DEFAULT_MAX_RECORDS), 1, MAX_RECORDS);
    Duration wait = Duration.ofMillis(Math.min(target.number("wait_ms", 0), MAX_WAIT_MS));
    Cancellable waiting =
        log.read(target.segments().get(1), from, max, wait, result -> answerRead(exchange, result));
    exchange.onCallerDisconnect(() -> scheduler.schedule(Duration.ZERO, waiting::cancel));
  }

  private static void answerRead(HttpExchange exchange, ReadResult result) {
    ObjectNode answer =
        Json.object().put("earliest", result.earliestOffset()).put("next", result.nextOffset());
    switch (result) {
      case ReadResult.Expired expired -> Json.respond(exchange, 410, answer);
      case ReadResult.Records found -> {
        ArrayNode records = answer.putArray("records");
        found.records().forEach(record -> records.add(recordJson(record)));
        Json.respond(exchange, 200, answer);
      }
    }
  }

  private static ObjectNode recordJson(StoredRecord record) {
    return Json.object()
        .put("offset", record.offset())
        .put("appended_at", record.appendedAt().toString())
        .put("payload", Base64.getEncoder().encodeToString(record.payload()));
  }

  private void runAfter(long delayMs, Runnable task) {
    if (delayMs == 0) {
      task.run();
      return;
    }
    scheduler.schedule(Duration.ofMillis(delayMs), task);
  }
}
