package org.teaseldeal.router.backend;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Map;
import java.util.function.Consumer;
import org.teaseldeal.api.AttemptId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.core.AttemptFailure;
import org.teaseldeal.core.event.InstanceEvent;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.router.json.Json;

/** Turns the answer of a model engine into frame events and a final event. */
final class EngineListener extends AttemptListener {
  private static final int MAX_EVENT_BYTES = 1 << 20;
  private static final byte[] DONE = "[DONE]".getBytes(StandardCharsets.US_ASCII);

  private final boolean resumed;
  private final SseParser parser = new SseParser(MAX_EVENT_BYTES, this::onEvent);

  EngineListener(
      AttemptId attempt,
      boolean resumed,
      Consumer<InstanceEvent> events,
      Runnable onCompletion,
      Runnable closeConnection) {
    super(attempt, events, onCompletion, closeConnection);
    this.resumed = resumed;
  }

  @Override
  public void onHead(int status, Map<String, String> headers) {
    if (status != 200) {
      fail(failureOf(status), "the engine answered with status " + status);
    }
  }

  @Override
  void onBody(byte[] part) {
    try {
      parser.feed(part);
    } catch (IllegalArgumentException e) {
      failAndClose(AttemptFailure.LOST_MID_ANSWER, "the engine's answer: " + e.getMessage());
    }
  }

  @Override
  public void onEnd(AnswerEnd end) {
    fail(AttemptFailure.LOST_MID_ANSWER, "the engine's answer ended without usage");
  }

  private AttemptFailure failureOf(int status) {
    if (resumed) {
      // The request has already been running. An engine that is too busy to resume it has not
      // refused to run it.
      return switch (status) {
        case 404 -> AttemptFailure.RESUME_UNKNOWN;
        case 429, 503 -> AttemptFailure.LOST_BEFORE_ANSWER;
        default -> AttemptFailure.SERVER_ERROR;
      };
    }
    return switch (status) {
      case 429, 503 -> AttemptFailure.REFUSED_BY_SERVER;
      default -> AttemptFailure.SERVER_ERROR;
    };
  }

  private void onEvent(byte[] data) {
    if (isCompleted() || Arrays.equals(data, DONE)) {
      return;
    }
    ObjectNode chunk = Json.readObject(data);
    AttemptId chunkAttempt = AttemptIdParser.parse(chunk.path("attempt").asText(""));
    JsonNode position = chunk.path("position");
    if (!position.canConvertToLong() || position.asLong() < 0) {
      throw new IllegalArgumentException("a chunk has no position");
    }
    if (isUsage(chunk)) {
      finishStream(chunkAttempt, position.asLong(), parseUsage(chunk.get("usage")));
    } else {
      publish(new InstanceEvent.FrameReceived(chunkAttempt, position.asLong(), data));
    }
  }

  private void finishStream(AttemptId chunkAttempt, long frames, Usage usage) {
    InstanceEvent finished = new InstanceEvent.StreamFinished(chunkAttempt, frames, usage);
    if (chunkAttempt.equals(attempt())) {
      complete(finished);
    } else {
      // The end of another attempt doesn't complete this one. The instance ignores and counts it.
      publish(finished);
    }
  }

  private static boolean isUsage(ObjectNode chunk) {
    return chunk.path("usage").isObject()
        && chunk.path("choices").isArray()
        && chunk.path("choices").isEmpty();
  }

  static Usage parseUsage(JsonNode usage) {
    JsonNode input = usage.path("prompt_tokens");
    JsonNode output = usage.path("completion_tokens");
    if (!input.canConvertToLong() || !output.canConvertToLong()) {
      throw new IllegalArgumentException("usage has no token counts");
    }
    return new Usage(input.asLong(), output.asLong());
  }
}
