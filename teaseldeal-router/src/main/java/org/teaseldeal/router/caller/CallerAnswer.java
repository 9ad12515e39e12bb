package org.teaseldeal.router.caller;

import java.util.Map;
import java.util.Optional;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.RequestId;
import org.teaseldeal.api.Usage;
import org.teaseldeal.net.HttpExchange;

/** Writes the answer to one request of a caller. */
abstract class CallerAnswer {
  private final HttpExchange exchange;

  CallerAnswer(HttpExchange exchange) {
    this.exchange = exchange;
  }

  HttpExchange exchange() {
    return exchange;
  }

  /**
   * Adds the next frame to the answer.
   *
   * @return false if the answer was aborted because it exceeds its limit: the caller reads a
   *     streamed answer too slowly, or an aggregated answer is too large
   */
  abstract boolean writeFrame(RequestId request, byte[] data);

  /** Completes the answer with the tokens used. */
  abstract void finish(RequestId request, Usage usage);

  /** Ends the answer with an error, possibly after some frames have been written. */
  abstract void fail(RequestId request, Problem problem);

  /** Answers with an error before any frame has been written. */
  void refuse(RequestId request, Problem problem) {
    ProblemAnswer.send(exchange, problem, Optional.of(request));
  }

  /** Answers with the complete answer of a plain service. */
  void respond(RequestId request, int status, String contentType, byte[] body) {
    Map<String, String> headers =
        contentType.isEmpty()
            ? Map.of("Request-Id", request.value())
            : Map.of("Request-Id", request.value(), "Content-Type", contentType);
    exchange.respond(status, headers, body);
  }
}
