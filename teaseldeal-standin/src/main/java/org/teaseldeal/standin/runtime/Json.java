package org.teaseldeal.standin.runtime;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.teaseldeal.net.HttpExchange;

/** Reads and writes the JSON of the stand-ins' requests and answers. */
public final class Json {
  /** A mapper that writes names in snake case and enums by their {@code toString}. */
  public static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(SerializationFeature.WRITE_ENUMS_USING_TO_STRING)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /** Creates an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Parses a body as a JSON object.
   *
   * @throws IllegalArgumentException if it isn't one
   */
  public static ObjectNode readObject(byte[] body) {
    try {
      JsonNode node = MAPPER.readTree(body);
      if (node instanceof ObjectNode object) {
        return object;
      }
      throw new IllegalArgumentException("body was not a JSON object");
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("body was not JSON: " + e.getOriginalMessage(), e);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns {@code node} as UTF-8 text. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Answers a request with {@code node}. */
  public static void respond(HttpExchange exchange, int status, JsonNode node) {
    Map<String, String> headers =
        AttemptNames.headers(exchange, Map.of("Content-Type", "application/json"));
    exchange.respond(status, headers, bytes(node));
  }

  /** Answers a request with {@code {"error": message}}. */
  public static void respondError(HttpExchange exchange, int status, String message) {
    respond(exchange, status, object().put("error", message));
  }
}
