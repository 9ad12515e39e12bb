package org.teaseldeal.standin.engine;

import java.nio.charset.StandardCharsets;
import org.teaseldeal.standin.runtime.Json;

/**
 * Writes the chunks of one attempt as server-sent events.
 *
 * <p>The part that all chunks of an answer share is serialized once. If the engine serialized each
 * chunk, it would be slower than the instances in front of it and limit their measured throughput.
 */
final class ChunkWriter {
  private final String prefix;

  ChunkWriter(String requestId, String attemptId, String model, long createdSecond) {
    String head =
        Json.object()
            .put("id", "chatcmpl-" + requestId)
            .put("object", "chat.completion.chunk")
            .put("created", createdSecond)
            .put("model", model)
            .put("attempt", attemptId)
            .toString();
    prefix = "data: " + head.substring(0, head.length() - 1) + ",\"position\":";
  }

  /**
   * Returns the chunk of a frame.
   *
   * @param text the frame's text, without characters that JSON escapes
   * @param finishReason likewise; empty if the frame isn't the last
   */
  byte[] frame(int position, String text, String finishReason) {
    String reason = finishReason.isEmpty() ? "null" : '"' + finishReason + '"';
    return event(
        position
            + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\""
            + text
            + "\"},\"finish_reason\":"
            + reason
            + "}]}");
  }

  /** Returns the last chunk of an answer, which carries the usage. */
  byte[] usage(int frames, EngineUsage usage) {
    String tokens =
        Json.object()
            .put("prompt_tokens", usage.promptTokens())
            .put("completion_tokens", usage.completionTokens())
            .put("total_tokens", usage.promptTokens() + usage.completionTokens())
            .toString();
    return event(frames + ",\"choices\":[],\"usage\":" + tokens + "}");
  }

  private byte[] event(String rest) {
    return (prefix + rest + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
