package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.net.EventSplitter;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** The only answer that a caller gets, with the progress of its transmission. */
final class CallerAnswer {
  private final HttpExchange exchange;
  private final InstantSource clock;
  private @Nullable ResponseStream stream;
  private @Nullable Instant firstSentAt;
  private Instant lastSentAt = Instant.MAX;
  private Duration longestPause = Duration.ZERO;
  private long eventsSent;
  private String lastEventId = "";

  CallerAnswer(HttpExchange exchange, InstantSource clock) {
    this.exchange = exchange;
    this.clock = clock;
  }

  /** Creates the answer to a caller that has received the beginning of a stream. */
  CallerAnswer(HttpExchange exchange, InstantSource clock, BegunStream begun) {
    this(exchange, clock);
    this.stream = begun.stream();
    this.firstSentAt = begun.firstSentAt();
    this.lastSentAt = begun.lastSentAt();
    this.lastEventId = begun.lastEventId();
  }

  /** When the first part of the answer was sent; empty if none was sent yet. */
  Optional<Instant> firstSentAt() {
    return Optional.ofNullable(firstSentAt);
  }

  /** The longest time between two consecutive parts of the answer. */
  Duration longestPause() {
    return longestPause;
  }

  private void recordSent() {
    Instant now = clock.instant();
    if (firstSentAt == null) {
      firstSentAt = now;
    } else {
      Duration pause = Duration.between(lastSentAt, now);
      longestPause = pause.compareTo(longestPause) > 0 ? pause : longestPause;
    }
    lastSentAt = now;
  }

  /** Whether a part of a streamed answer was sent, after which no other answer can replace it. */
  boolean hasBegun() {
    return stream != null;
  }

  /** The bytes of a streamed answer that wait until the caller reads. */
  long pendingBytes() {
    return stream == null ? 0 : stream.pendingBytes();
  }

  long eventsSent() {
    return eventsSent;
  }

  /**
   * The id of the last event with data that was sent; empty if none had an id. If a stream went on
   * after an empty event of a faulty server, the true event of that id would be missing.
   */
  String lastEventId() {
    return lastEventId;
  }

  /**
   * Sends an event. The first event also sends the status and headers of its server's answer, which
   * stay in place if later events come from another server.
   */
  void sendEvent(int status, Map<String, String> headers, EventSplitter.Event event) {
    ResponseStream open = stream;
    if (open == null) {
      open = exchange.startStream(status, headers);
      stream = open;
    }
    eventsSent++;
    if (!event.id().isEmpty() && event.hasData()) {
      lastEventId = event.id();
    }
    open.write(event.bytes());
    recordSent();
  }

  /** Ends a stream as complete; its body is empty if no event was sent. */
  void finish(int status, Map<String, String> headers) {
    recordSent();
    if (stream == null) {
      exchange.respond(status, headers, new byte[0]);
    } else {
      stream.finish();
    }
  }

  /** Sends a complete answer. No part of a streamed answer must have been sent before. */
  void respond(HttpAnswer answer) {
    recordSent();
    exchange.respond(answer.status(), answer.headers(), answer.body());
  }

  /** Aborts the answer so that the caller can tell that it is incomplete. */
  void abort() {
    if (stream != null) {
      stream.abort();
    }
  }
}
