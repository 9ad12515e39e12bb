package org.teaseldeal.gateway.flow;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.ResponseStream;

/** The only answer that a caller gets, with the progress of its transmission. */
final class CallerAnswer {
  private final HttpExchange exchange;
  private final InstantSource clock;
  private @Nullable ResponseStream stream;
  private @Nullable Instant firstSent;
  private Instant lastSent = Instant.MAX;
  private Duration longestPause = Duration.ZERO;
  private long eventsSent;
  private String lastEventId = "";

  CallerAnswer(HttpExchange exchange, InstantSource clock) {
    this.exchange = exchange;
    this.clock = clock;
  }

  /** When the first part of the answer was sent; empty if none was sent yet. */
  Optional<Instant> firstSent() {
    return Optional.ofNullable(firstSent);
  }

  /** The longest time between two consecutive parts of the answer. */
  Duration longestPause() {
    return longestPause;
  }

  private void onSent() {
    Instant now = clock.instant();
    if (firstSent == null) {
      firstSent = now;
    } else {
      Duration pause = Duration.between(lastSent, now);
      longestPause = pause.compareTo(longestPause) > 0 ? pause : longestPause;
    }
    lastSent = now;
  }

  /** Whether a part of a streamed answer was sent, after which no other answer can replace it. */
  boolean begun() {
    return stream != null;
  }

  long eventsSent() {
    return eventsSent;
  }

  /** The id of the last event that was sent; empty if no event had an id. */
  String lastEventId() {
    return lastEventId;
  }

  /**
   * Sends an event. The first event also sends the status and headers of its server's answer, which
   * stay in place if later events come from another server.
   */
  void event(int status, Map<String, String> headers, EventSplitter.Event event) {
    ResponseStream open = stream;
    if (open == null) {
      open = exchange.startStream(status, headers);
      stream = open;
    }
    eventsSent++;
    if (!event.id().isEmpty()) {
      lastEventId = event.id();
    }
    open.write(event.bytes());
    onSent();
  }

  /**
   * Ends the answer as complete.
   *
   * @param rest the bytes after the last complete event, or the complete body if no event was sent
   */
  void finish(int status, Map<String, String> headers, byte[] rest) {
    onSent();
    if (stream == null) {
      exchange.respond(status, headers, rest);
    } else {
      stream.write(rest);
      stream.finish();
    }
  }

  /** Sends a complete answer. No part of a streamed answer must have been sent before. */
  void whole(HttpAnswer answer) {
    onSent();
    exchange.respond(answer.status(), answer.headers(), answer.body());
  }

  /** Aborts the answer so that the caller can tell that it is incomplete. */
  void breakOff() {
    if (stream != null) {
      stream.abort();
    }
  }
}
