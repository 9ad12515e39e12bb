package org.teaseldeal.router.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.ledger.LogCommand;
import org.teaseldeal.ledger.LogEvent;
import org.teaseldeal.ledger.LogRecord;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpClient;
import org.teaseldeal.router.json.Json;

/** Appends to and reads from the platform's log, with one HTTP call per command. */
public final class LogClient {
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration READ_WAIT = Duration.ofSeconds(1);
  private static final Duration READ_TIMEOUT = READ_WAIT.plusSeconds(2);
  private static final int MAX_RECORDS_PER_READ = 500;

  private final HttpClient client;
  private final String address;
  private final Consumer<InstanceEvent> events;

  /** Creates a client; {@code events} receives the results and is called from any thread. */
  public LogClient(HttpClient client, String address, Consumer<InstanceEvent> events) {
    this.client = client;
    this.address = address;
    this.events = events;
  }

  /** Executes a command. It is not retried if it fails. */
  public void execute(LogCommand command) {
    switch (command) {
      case LogCommand.Append append -> append(append);
      case LogCommand.Read read -> read(read);
    }
  }

  private void append(LogCommand.Append append) {
    client
        .fetch(request("POST", path(append), append.payload(), APPEND_TIMEOUT))
        .whenComplete((answer, failure) -> publish(appendEvent(append, answer, failure)));
  }

  private void read(LogCommand.Read read) {
    String path =
        "%s?from=%d&max=%d&wait_ms=%d"
            .formatted(path(read), read.fromOffset(), MAX_RECORDS_PER_READ, READ_WAIT.toMillis());
    client
        .fetch(request("GET", path, new byte[0], READ_TIMEOUT))
        .whenComplete((answer, failure) -> publish(readEvent(read, answer, failure)));
  }

  private HttpCallRequest request(String method, String path, byte[] body, Duration timeout) {
    return new HttpCallRequest(
        address, method, path, Map.of("Content-Type", "application/octet-stream"), body, timeout);
  }

  private void publish(LogEvent event) {
    events.accept(new InstanceEvent.LogResponseReceived(event));
  }

  private static String path(LogCommand command) {
    return "/log/%s/records".formatted(command.stream().logName());
  }

  static LogEvent appendEvent(
      LogCommand.Append append, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (answer == null || answer.status() != 200) {
      return new LogEvent.AppendFailed(
          append.stream(), append.token(), failureDetail(answer, failure));
    }
    try {
      long offset = number(Json.readObject(answer.body()), "offset");
      return new LogEvent.AppendAcknowledged(append.stream(), append.token(), offset);
    } catch (IllegalArgumentException e) {
      return new LogEvent.AppendFailed(
          append.stream(), append.token(), String.valueOf(e.getMessage()));
    }
  }

  static LogEvent readEvent(
      LogCommand.Read read, @Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (answer == null || (answer.status() != 200 && answer.status() != 410)) {
      return new LogEvent.ReadFailed(
          read.stream(), read.fromOffset(), failureDetail(answer, failure));
    }
    try {
      ObjectNode body = Json.readObject(answer.body());
      long earliest = number(body, "earliest");
      long next = number(body, "next");
      return answer.status() == 410
          ? new LogEvent.OffsetExpired(read.stream(), read.fromOffset(), earliest, next)
          : new LogEvent.RecordsRead(
              read.stream(), read.fromOffset(), records(body), earliest, next);
    } catch (IllegalArgumentException | DateTimeException e) {
      return new LogEvent.ReadFailed(
          read.stream(), read.fromOffset(), String.valueOf(e.getMessage()));
    }
  }

  private static List<LogRecord> records(ObjectNode body) {
    List<LogRecord> records = new ArrayList<>();
    for (JsonNode record : body.path("records")) {
      records.add(
          new LogRecord(
              number(record, "offset"),
              Instant.parse(record.path("appended_at").asText("")),
              payload(record)));
    }
    return records;
  }

  private static byte[] payload(JsonNode record) {
    try {
      return record.path("payload").binaryValue();
    } catch (IOException e) {
      throw new IllegalArgumentException("a record's payload is no base64", e);
    }
  }

  private static long number(JsonNode object, String field) {
    if (!object.path(field).canConvertToLong()) {
      throw new IllegalArgumentException("the log's answer has no " + field);
    }
    return object.get(field).asLong();
  }

  private static String failureDetail(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    return answer == null ? String.valueOf(failure) : "the log answered " + answer.status();
  }
}
