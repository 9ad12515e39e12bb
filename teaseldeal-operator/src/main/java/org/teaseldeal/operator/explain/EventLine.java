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
 * @param fields of the event, time, instance and its kind among them
 */
public record EventLine(Instant time, String instance, String event, JsonNode fields) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /**
   * Reads a line; empty if it is no event, such as a warning in plain text. Whatever a collector
   * put before the JSON is passed over.
   *
   * @throws IllegalArgumentException if it looks like an event and can't be read
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

  /** The event and its fields, without time and instance. */
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
