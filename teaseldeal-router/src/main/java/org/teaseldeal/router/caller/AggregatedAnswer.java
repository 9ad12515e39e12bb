package org.teaseldeal.router.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.router.json.Json;

/** An answer whose frames are merged into one JSON object that is sent at the end. */
final class AggregatedAnswer extends CallerAnswer {
  /** Text fields whose values arrive split over several frames; others arrive in one frame. */
  private static final Set<String> CONCATENATED_FIELDS =
      Set.of("content", "reasoning", "reasoning_content", "refusal", "arguments");

  private final int maxBytes;
  private final ObjectNode sharedFields = Json.object();
  private final SortedMap<Integer, ObjectNode> choices = new TreeMap<>();
  private int receivedBytes;

  AggregatedAnswer(HttpExchange exchange, int maxBytes) {
    super(exchange);
    this.maxBytes = maxBytes;
  }

  @Override
  boolean writeFrame(RequestId request, byte[] data) {
    receivedBytes += data.length;
    if (receivedBytes > maxBytes) {
      exchange().abort();
      return false;
    }
    ObjectNode chunk = Json.readObject(data);
    for (String field : List.of("created", "model", "system_fingerprint")) {
      if (chunk.hasNonNull(field) && !sharedFields.has(field)) {
        sharedFields.set(field, chunk.get(field));
      }
    }
    chunk.path("choices").forEach(this::addChoice);
    return true;
  }

  @Override
  void finish(RequestId request, Usage usage) {
    ObjectNode answer = Json.object().put("id", request.value()).put("object", "chat.completion");
    answer.setAll(sharedFields);
    ArrayNode list = answer.putArray("choices");
    choices.values().forEach(list::add);
    answer.set("usage", usageObject(usage));
    exchange()
        .respond(
            200,
            Map.of("Content-Type", "application/json", "Request-Id", request.value()),
            Json.bytes(answer));
  }

  @Override
  void fail(RequestId request, Problem problem) {
    refuse(request, problem);
  }

  static ObjectNode usageObject(Usage usage) {
    return Json.object()
        .put("prompt_tokens", usage.inputTokens())
        .put("completion_tokens", usage.outputTokens())
        .put("total_tokens", usage.total());
  }

  private void addChoice(JsonNode choice) {
    int index = choice.path("index").asInt(0);
    ObjectNode merged = choices.computeIfAbsent(index, AggregatedAnswer::emptyChoice);
    if (choice.path("delta") instanceof ObjectNode delta) {
      merge((ObjectNode) merged.get("message"), delta);
    }
    if (choice.path("logprobs") instanceof ObjectNode logprobs) {
      merge(merged.withObject("/logprobs"), logprobs);
    }
    if (choice.hasNonNull("finish_reason")) {
      merged.set("finish_reason", choice.get("finish_reason"));
    }
  }

  private static ObjectNode emptyChoice(int index) {
    ObjectNode choice = Json.object().put("index", index);
    choice.putObject("message").put("role", "assistant").putNull("content");
    return choice.putNull("finish_reason");
  }

  private static void merge(ObjectNode into, ObjectNode part) {
    part.properties().forEach(field -> mergeField(into, field.getKey(), field.getValue()));
  }

  private static void mergeField(ObjectNode into, String name, JsonNode value) {
    if (value.isNull()) {
      return;
    }
    JsonNode present = into.path(name);
    if (value.isTextual() && present.isTextual() && CONCATENATED_FIELDS.contains(name)) {
      into.put(name, present.asText() + value.asText());
    } else if (value instanceof ObjectNode object && present instanceof ObjectNode target) {
      merge(target, object);
    } else if (value instanceof ArrayNode array && present instanceof ArrayNode target) {
      array.forEach(element -> mergeElement(target, element));
    } else {
      into.set(name, value.deepCopy());
    }
  }

  /**
   * Merges an element into an array. Elements with the same index, such as tool calls, are parts of
   * one element; an element without an index is appended.
   */
  private static void mergeElement(ArrayNode target, JsonNode element) {
    if (element instanceof ObjectNode part && part.has("index")) {
      for (JsonNode present : target) {
        if (present instanceof ObjectNode same && part.get("index").equals(same.get("index"))) {
          merge(same, part);
          return;
        }
      }
    }
    target.add(element.deepCopy());
  }
}
