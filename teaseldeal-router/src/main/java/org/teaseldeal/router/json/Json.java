package org.teaseldeal.router.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.time.Instant;

/** Reads JSON within limits on nesting depth and on the length of names and numbers; writes it. */
public final class Json {
  private static final int MAX_DEPTH = 64;
  private static final int MAX_NAME_LENGTH = 1_000;
  private static final int MAX_NUMBER_LENGTH = 100;

  /**
   * Refuses duplicate keys. Two parsers of the same text could otherwise each use a different one
   * of the values.
   */
  private static final ObjectMapper MAPPER =
      JsonMapper.builder(
              JsonFactory.builder()
                  .streamReadConstraints(
                      StreamReadConstraints.builder()
                          .maxNestingDepth(MAX_DEPTH)
                          .maxNameLength(MAX_NAME_LENGTH)
                          .maxNumberLength(MAX_NUMBER_LENGTH)
                          .maxStringLength(Integer.MAX_VALUE)
                          .build())
                  .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                  .build())
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          // Numbers that are forwarded must stay the same, digit for digit.
          .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
          .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
          .addModule(
              new SimpleModule()
                  .addSerializer(Instant.class, ToStringSerializer.instance)
                  .addSerializer(Duration.class, ToStringSerializer.instance))
          .build();

  private Json() {}

  /** Creates an empty object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /**
   * Reads an object.
   *
   * @throws IllegalArgumentException if {@code text} is not one JSON object within the limits; the
   *     message says what is wrong, and where
   */
  public static ObjectNode readObject(byte[] text) {
    JsonNode node;
    try {
      node = MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(describe(e), e);
    } catch (IOException e) {
      throw new IllegalArgumentException("not readable: " + e.getMessage(), e);
    }
    if (node instanceof ObjectNode object) {
      return object;
    }
    throw new IllegalArgumentException("not a JSON object");
  }

  /** Writes a node without white space between tokens. */
  public static byte[] bytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Converts a record to a tree of JSON nodes. */
  public static JsonNode tree(Object value) {
    return MAPPER.valueToTree(value);
  }

  /** Describes an error without quoting the text, which may contain a prompt. */
  private static String describe(JsonProcessingException e) {
    return e.getLocation() == null
        ? "not JSON"
        : "not JSON within the bounds, at line %d, column %d"
            .formatted(e.getLocation().getLineNr(), e.getLocation().getColumnNr());
  }
}
