package org.teaseldeal.router.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;
import org.teaseldeal.router.json.Json;

/** An answer that is streamed to the caller as server-sent events. */
final class StreamedAnswer extends CallerAnswer {
  private final int maxPendingBytes;
  private @Nullable ResponseStream stream;

  StreamedAnswer(HttpExchange exchange, int maxPendingBytes) {
    super(exchange);
    this.maxPendingBytes = maxPendingBytes;
  }

  @Override
  boolean writeFrame(RequestId request, byte[] data) {
    ResponseStream out = startedStream(request);
    if (out.pendingBytes() + data.length > maxPendingBytes) {
      out.abort();
      return false;
    }
    out.write(event("", new String(data, StandardCharsets.UTF_8)));
    return true;
  }

  @Override
  void finish(RequestId request, Usage usage) {
    ResponseStream out = startedStream(request);
    out.write(
        event("", new String(Json.bytes(usageChunk(request, usage)), StandardCharsets.UTF_8)));
    out.write(event("", "[DONE]"));
    out.finish();
  }

  @Override
  void fail(RequestId request, Problem problem) {
    if (stream == null) {
      refuse(request, problem);
      return;
    }
    String body =
        new String(
            Json.bytes(ProblemAnswer.json(problem, Optional.of(request))), StandardCharsets.UTF_8);
    stream.write(event("event: error\n", body));
    stream.abort();
  }

  private ResponseStream startedStream(RequestId request) {
    if (stream == null) {
      stream =
          exchange()
              .startStream(
                  200,
                  Map.of(
                      "Content-Type",
                      "text/event-stream",
                      "Cache-Control",
                      "no-cache",
                      "Request-Id",
                      request.value()));
    }
    return stream;
  }

  private static ObjectNode usageChunk(RequestId request, Usage usage) {
    ObjectNode chunk =
        Json.object().put("id", request.value()).put("object", "chat.completion.chunk");
    chunk.putArray("choices");
    chunk.set("usage", AggregatedAnswer.usageObject(usage));
    return chunk;
  }

  private static byte[] event(String head, String data) {
    return (head + "data: " + data.replace("\n", "\ndata: ") + "\n\n")
        .getBytes(StandardCharsets.UTF_8);
  }
}
