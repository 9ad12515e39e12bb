package org.teaseldeal.operator.session;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.ledger.StreamId;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.net.HttpFailure;
import org.teaseldeal.net.HttpFailureException;

/** Executes the ledger's log commands over HTTP at the platform's log. */
final class HttpLogClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int MAX_RECORDS_PER_READ = 1_000;

  /** Not longer than the time after which the ledger client retries. */
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2);

  private static final byte[] NO_BODY = {};

  private final HttpClient client;
  private final String address;

  HttpLogClient(HttpClient client, String address) {
    this.client = client;
    this.address = address;
  }

  /**
   * The result of an append; {@code mayBeWritten} is false only if the record certainly did not
   * reach the log.
   */
  record AppendResult(LogEvent event, boolean mayBeWritten) {}

  CompletableFuture<AppendResult> append(LogCommand.Append append) {
    return call("POST", path(append.stream()), append.payload())
        .handle((answer, failure) -> appendResult(append, answer, failure));
  }

  /** Reads records; if there are none yet, the log waits up to {@code longPoll} for the first. */
  CompletableFuture<LogEvent> read(StreamId stream, long fromOffset, Duration longPoll) {
    String query =
        "?from=%d&max=%d&wait_ms=%d"
            .formatted(fromOffset, MAX_RECORDS_PER_READ, longPoll.toMillis());
    return call("GET", path(stream) + query, NO_BODY)
        .handle((answer, failure) -> read(stream, fromOffset, answer, failure));
  }

  private CompletableFuture<HttpAnswer> call(String method, String path, byte[] body) {
    return client.fetch(new HttpCallRequest(address, method, path, Map.of(), body, CALL_TIMEOUT));
  }

  private static String path(StreamId stream) {
    return "/log/%s/records".formatted(stream.logName());
  }

  private AppendResult appendResult(
      LogCommand.Append append, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (failure != null || answer == null) {
      return new AppendResult(failed(append, reason(failure)), !isNotSent(failure));
    }
    if (answer.status() != OK) {
      // Only a 429, a refusal for the append rate, is certain to precede the write. A 503 may come
      // from a proxy in front of the log that timed out after the write took effect.
      return new AppendResult(
          failed(append, "the log answered " + answer.status()),
          answer.status() != TOO_MANY_REQUESTS);
    }
    try {
      long offset = required(MAPPER.readTree(answer.body()), "offset").asLong();
      return new AppendResult(
          new LogEvent.AppendAcknowledged(append.stream(), append.token(), offset), true);
    } catch (IOException e) {
      return new AppendResult(failed(append, "the log's answer is malformed"), true);
    }
  }

  private static LogEvent failed(LogCommand.Append append, String detail) {
    return new LogEvent.AppendFailed(append.stream(), append.token(), String.valueOf(detail));
  }

  private static String reason(@Nullable Throwable failure) {
    return failure == null ? "no answer" : String.valueOf(failure.getMessage());
  }

  private static boolean isNotSent(@Nullable Throwable failure) {
    return failure instanceof HttpFailureException http && http.failure() == HttpFailure.NOT_SENT;
  }

  private LogEvent read(
      StreamId stream, long from, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (failure != null || answer == null) {
      return new LogEvent.ReadFailed(stream, from, reason(failure));
    }
    if (answer.status() != OK && answer.status() != GONE) {
      return new LogEvent.ReadFailed(stream, from, "the log answered " + answer.status());
    }
    try {
      JsonNode body = MAPPER.readTree(answer.body());
      long earliest = required(body, "earliest").asLong();
      long next = required(body, "next").asLong();
      return answer.status() == GONE
          ? new LogEvent.OffsetExpired(stream, from, earliest, next)
          : new LogEvent.RecordsRead(stream, from, records(body), earliest, next);
    } catch (IOException | DateTimeException e) {
      return new LogEvent.ReadFailed(stream, from, "the log's answer is malformed");
    }
  }

  private static List<LogRecord> records(JsonNode body) throws IOException {
    List<LogRecord> records = new ArrayList<>();
    for (JsonNode entry : required(body, "records")) {
      records.add(
          new LogRecord(
              required(entry, "offset").asLong(),
              Instant.parse(required(entry, "appended_at").asText()),
              required(entry, "payload").binaryValue()));
    }
    return records;
  }

  private static JsonNode required(JsonNode node, String field) throws JsonProcessingException {
    JsonNode value = node.get(field);
    if (value == null || value.isNull()) {
      throw new JsonMappingException(null, field + " is missing");
    }
    return value;
  }
}
