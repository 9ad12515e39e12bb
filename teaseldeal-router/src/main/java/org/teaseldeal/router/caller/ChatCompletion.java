package org.teaseldeal.router.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.OptionalLong;
import org.teaseldeal.core.Payload;
import org.teaseldeal.router.json.Json;

/**
 * A parsed chat completion request.
 *
 * @param model the name of the requested service
 * @param payload the request to send to an engine
 */
record ChatCompletion(String model, Payload.ModelCall payload) {
  /** The tokens that a chat template adds to a message, such as role markers and separators. */
  private static final long TOKENS_PER_MESSAGE = 16;

  /** The tokens that a chat template adds to a request, such as a default system prompt. */
  private static final long TOKENS_PER_REQUEST = 64;

  /**
   * Fields that are refused, because they would make an engine generate more tokens than the output
   * limit accounts for, or build a prompt longer than the bound computed from the messages.
   */
  private static final List<String> UNSUPPORTED_FIELDS =
      List.of("best_of", "use_beam_search", "chat_template", "chat_template_kwargs", "documents");

  private static final long MAX_OUTPUT_TOKENS = 100_000_000;

  /**
   * Parses the body of a request.
   *
   * @throws IllegalArgumentException if the body is malformed; the message is sent to the caller
   */
  static ChatCompletion read(byte[] body) {
    ObjectNode request;
    try {
      request = Json.readObject(body);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException("the body is " + e.getMessage(), e);
    }
    checkFields(request);
    String model = request.get("model").asText();
    OptionalLong outputLimit = maxTokens(request);
    boolean stream = request.path("stream").asBoolean(false);
    long bound = inputTokenBound(request);
    return new ChatCompletion(
        model, new Payload.ModelCall(engineBody(request), bound, outputLimit, stream));
  }

  /**
   * Returns the body for an engine: the request without model and output limit, which are inserted
   * when an attempt starts, and with streaming of frames and usage switched on.
   */
  private static byte[] engineBody(ObjectNode request) {
    request.remove(List.of("model", "max_tokens", "max_completion_tokens"));
    request.put("stream", true);
    request.putObject("stream_options").put("include_usage", true);
    return Json.bytes(request);
  }

  private static void checkFields(ObjectNode request) {
    if (!request.path("model").isTextual() || request.get("model").asText().isBlank()) {
      throw new IllegalArgumentException("model was absent or no text, expected a service's name");
    }
    JsonNode messages = request.path("messages");
    if (!messages.isArray() || messages.isEmpty()) {
      throw new IllegalArgumentException("messages was absent or empty, expected a list");
    }
    messages.forEach(ChatCompletion::checkMessage);
    requireBoolean(request, "stream");
    if (request.hasNonNull("n") && request.get("n").asLong(0) != 1) {
      throw new IllegalArgumentException("n was not 1, expected one answer");
    }
    for (String field : UNSUPPORTED_FIELDS) {
      if (request.hasNonNull(field)) {
        throw new IllegalArgumentException("%s is not supported".formatted(field));
      }
    }
  }

  private static void checkMessage(JsonNode message) {
    if (!message.isObject()) {
      throw new IllegalArgumentException("a message was no object");
    }
    JsonNode content = message.path("content");
    if (!content.isArray()) {
      return;
    }
    for (JsonNode part : content) {
      // The size of a link or an image in bytes doesn't bound the number of its tokens.
      if (!part.path("type").asText("").equals("text")) {
        throw new IllegalArgumentException("a message has a part that is not of type text");
      }
    }
  }

  private static void requireBoolean(ObjectNode request, String field) {
    if (request.hasNonNull(field) && !request.get(field).isBoolean()) {
      throw new IllegalArgumentException("%s was not true or false".formatted(field));
    }
  }

  private static OptionalLong maxTokens(ObjectNode request) {
    OptionalLong legacy = tokenLimit(request, "max_tokens");
    OptionalLong current = tokenLimit(request, "max_completion_tokens");
    if (legacy.isPresent() && current.isPresent() && legacy.getAsLong() != current.getAsLong()) {
      throw new IllegalArgumentException("max_tokens and max_completion_tokens differ");
    }
    return current.isPresent() ? current : legacy;
  }

  private static OptionalLong tokenLimit(ObjectNode request, String field) {
    if (!request.hasNonNull(field)) {
      return OptionalLong.empty();
    }
    JsonNode value = request.get(field);
    if (!value.isIntegralNumber()
        || !value.canConvertToLong()
        || value.asLong() < 1
        || value.asLong() > MAX_OUTPUT_TOKENS) {
      throw new IllegalArgumentException(
          "%s was no whole number from 1 to %d".formatted(field, MAX_OUTPUT_TOKENS));
    }
    return OptionalLong.of(value.asLong());
  }

  /**
   * Returns an upper bound of the input tokens that an engine counts. A token covers at least one
   * byte of the prompt, whose text comes from the messages and from structured fields such as
   * tools.
   */
  private static long inputTokenBound(ObjectNode request) {
    long bytes = TOKENS_PER_REQUEST + TOKENS_PER_MESSAGE * request.get("messages").size();
    for (JsonNode field : request) {
      if (field.isContainerNode()) {
        bytes += Json.bytes(field).length;
      }
    }
    return bytes;
  }
}
