package org.teaseldeal.operator.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;

/**
 * One event of an instance's log.
 *
 * @param fields all fields of the event, including the time, the instance and the event's type
 */
public record EventLine(Instant time, String instance, String event, JsonNode fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Parses a line; the result is empty if the line is no event, such as a warning in plain text. A
   * prefix that a log collector put before the JSON is skipped.
   *
   * @throws IllegalArgumentException if the line looks like an event but cannot be parsed
   */
  static Optional<EventLine> read(String line) {
    int start = line.indexOf("{\"time\"");
    if (start < 0) {
      return Optional.empty();
    }
    try {
      JsonNode fields = MAPPER.readTree(line.substring(start));
      return Optional.of(
          new EventLine(
              Instant.parse(fields.path("time").asText()),
              fields.path("instance").asText(),
              fields.path("event").asText(),
              fields));
    } catch (JsonProcessingException | DateTimeException e) {
      throw new IllegalArgumentException("not an event: " + line.strip(), e);
    }
  }

  String text(String field) {
    return fields.path(field).asText();
  }

  long number(String field) {
    return fields.path(field).asLong();
  }

  /** Returns the event and its fields as text, without the time, the instance and the request. */
  String summary() {
    StringBuilder text = new StringBuilder(event);
    fields
        .properties()
        .forEach(
            field -> {
              if (!field.getKey().matches("time|instance|event|request")) {
                text.append(' ').append(field.getKey()).append('=').append(field.getValue());
              }
            });
    return text.toString();
  }
}
