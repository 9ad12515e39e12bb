package org.teaseldeal.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.StringJoiner;

/**
 * The fields of a chat completion request that an engine uses.
 *
 * @param maxTokens the limit for the answer's tokens
 * @param outputTokens the length of the answer before that limit; empty for a length that follows
 *     from the request id
 */
record ChatRequest(String model, String prompt, int maxTokens, Optional<Integer> outputTokens) {
  /**
   * Reads the body of a request.
   *
   * @throws IllegalArgumentException if a field is absent or has an invalid value
   */
  static ChatRequest read(ObjectNode body) {
    return new ChatRequest(
        body.path("model").asText(""),
        prompt(body.path("messages")),
        number(body, "max_tokens").orElse(Integer.MAX_VALUE),
        number(body, "x_output_tokens"));
  }

  /**
   * Returns the length of the answer before the request's limit: the requested length, or one
   * within the engine's settings that is derived from the request id.
   */
  int requestedTokens(String requestId, EngineSettings.Answers answers) {
    int span = answers.maxTokens() - answers.minTokens() + 1;
    return outputTokens.orElseGet(
        () -> answers.minTokens() + Math.floorMod(requestId.hashCode(), span));
  }

  private static String prompt(JsonNode messages) {
    if (!messages.isArray()) {
      throw new IllegalArgumentException(
          "messages was absent or no list, expected a list of messages");
    }
    StringJoiner prompt = new StringJoiner("\n");
    for (JsonNode message : messages) {
      prompt.add(content(message.path("content")));
    }
    return prompt.toString();
  }

  // Content is a string, or a list of parts if a client mixes media.
  private static String content(JsonNode content) {
    if (!content.isArray()) {
      return content.asText("");
    }
    StringJoiner parts = new StringJoiner("\n");
    content.forEach(part -> parts.add(part.path("text").asText("")));
    return parts.toString();
  }

  private static Optional<Integer> number(ObjectNode body, String key) {
    JsonNode node = body.get(key);
    if (node == null || node.isNull()) {
      return Optional.empty();
    }
    if (!node.canConvertToInt() || !node.isIntegralNumber() || node.intValue() < 1) {
      throw new IllegalArgumentException(
          "%s was %s, expected a whole number from 1".formatted(key, node));
    }
    return Optional.of(node.intValue());
  }
}
