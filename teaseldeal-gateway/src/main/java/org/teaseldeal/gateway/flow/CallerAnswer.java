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

/** The one answer that a caller gets, and how far it has got. */
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

  /** When its first part was sent; empty before. */
  Optional<Instant> firstSent() {
    return Optional.ofNullable(firstSent);
  }

  /** The longest time between two of its parts. */
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

  /** Whether a part of it was sent, so that no other answer can take its place. */
  boolean begun() {
    return stream != null;
  }

  long eventsSent() {
    return eventsSent;
  }

  /** The id of the last event that was sent; empty if none had one. */
  String lastEventId() {
    return lastEventId;
  }

  /** Sends an event; the first sends the head too, which stays the one of its server. */
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

  /** Ends it as complete; {@code rest} is what came after the last whole event, or all there is. */
  void finish(int status, Map<String, String> headers, byte[] rest) {
    onSent();
    if (stream == null) {
      exchange.respond(status, headers, rest);
    } else {
      stream.write(rest);
      stream.finish();
    }
  }

  /** Sends a whole answer in place of one that has not begun. */
  void whole(HttpAnswer answer) {
    onSent();
    exchange.respond(answer.status(), answer.headers(), answer.body());
  }

  /** Ends it so that the caller sees that it isn't whole. */
  void breakOff() {
    if (stream != null) {
      stream.abort();
    }
  }
}
