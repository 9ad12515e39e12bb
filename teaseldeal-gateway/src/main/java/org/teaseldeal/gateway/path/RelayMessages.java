package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerIncarnation;
import org.teaseldeal.net.AnswerEnd;
import org.teaseldeal.net.AnswerMatch;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/** The HTTP headers with which instances relay requests to backend servers for each other. */
final class RelayMessages {
  private static final Logger LOG = LoggerFactory.getLogger(RelayMessages.class);

  /** Bounds how long another instance is believed to have no room. */
  private static final Duration MAX_NO_ROOM = Duration.ofSeconds(10);

  /** What became of a relayed request, in the head of the relay's answer. */
  enum Result {
    /** The answer is the backend server's. */
    ANSWER,
    /** The relay did not try; another instance may. Nothing was sent. */
    REFUSED,
    /** The relay's list doesn't contain the server as ready and not evacuated. Nothing was sent. */
    NOT_LISTED,
    /** The relay has used its share of what the server takes. Nothing was sent. */
    NO_ROOM,
    /** The relay could not connect to the server. Nothing was sent. */
    UNREACHABLE,
    /** The request was sent, and the server's answer did not begin. */
    NO_ANSWER;

    boolean provesNotSent() {
      return this == REFUSED || this == NOT_LISTED || this == NO_ROOM || this == UNREACHABLE;
    }
  }

  private static final String PREFIX = "teaseldeal-relay-";
  static final String RESULT = PREFIX + "result";

  /** How the end of the server's answer is marked, a name of {@link AnswerEnd}. */
  static final String ANSWER_END = PREFIX + "end";

  /** The number of the call, which each answer to it repeats. */
  private static final String CALL = PREFIX + "call";

  /** How long the relay has no room, in milliseconds; 0 if it doesn't know. */
  private static final String NO_ROOM_MILLIS = PREFIX + "no-room-ms";

  private static final String SENDER = PREFIX + "sender";
  private static final String SERVER = PREFIX + "server";
  private static final String SERVER_START = PREFIX + "server-start";
  private static final String METHOD = PREFIX + "method";
  private static final String TARGET = PREFIX + "target";
  private static final String TIMEOUT_MILLIS = PREFIX + "timeout-ms";

  /** Headers of a single connection, which the relay's own client and server set. */
  private static final Set<String> CONNECTION_HEADERS =
      Set.of("connection", "content-length", "keep-alive", "transfer-encoding");

  /**
   * A request to relay.
   *
   * @param sender the name of the instance that asks
   * @param server the server that is to run the request; no other one may
   * @param timeout the time within which the head of the answer has to arrive
   */
  record Relayed(
      String sender,
      ServerIncarnation server,
      String method,
      String target,
      Map<String, String> headers,
      Duration timeout) {}

  private RelayMessages() {}

  /** Returns the headers that tell a relay what to send where. */
  static Map<String, String> encode(
      String sender, long call, BackendServer server, HttpCallRequest request) {
    Map<String, String> headers = new HashMap<>(request.headers());
    headers.put(SENDER, sender);
    headers.put(CALL, Long.toString(call));
    headers.put(SERVER, server.id().name());
    server
        .incarnation()
        .startedAt()
        .ifPresent(start -> headers.put(SERVER_START, Long.toString(start.toEpochMilli())));
    headers.put(METHOD, request.method());
    headers.put(TARGET, request.path());
    headers.put(TIMEOUT_MILLIS, Long.toString(Math.max(1, request.timeout().toMillis())));
    return headers;
  }

  /**
   * Decodes a request to relay.
   *
   * @throws IllegalArgumentException if a header is missing or can't be read
   */
  static Relayed decode(HttpExchange exchange) {
    Map<String, String> headers = new HashMap<>();
    for (Map.Entry<String, String> header : exchange.headers()) {
      String name = header.getKey().toLowerCase(Locale.ROOT);
      if (!CONNECTION_HEADERS.contains(name) && !name.startsWith(PREFIX)) {
        headers.put(name, header.getValue());
      }
    }
    Optional<Instant> start =
        exchange.header(SERVER_START).map(millis -> Instant.ofEpochMilli(Long.parseLong(millis)));
    return new Relayed(
        required(exchange, SENDER),
        new ServerIncarnation(new BackendServerId(required(exchange, SERVER)), start),
        required(exchange, METHOD),
        required(exchange, TARGET),
        headers,
        Duration.ofMillis(Long.parseLong(required(exchange, TIMEOUT_MILLIS))));
  }

  private static String required(HttpExchange exchange, String name) {
    return exchange
        .header(name)
        .filter(value -> !value.isBlank())
        .orElseThrow(() -> new IllegalArgumentException("header " + name + " is missing"));
  }

  /** Returns the headers of the relay's answer that passes on a server's answer. */
  static Map<String, String> answerHeaders(
      HttpExchange exchange, Map<String, String> headers, AnswerEnd end) {
    Map<String, String> passed = withoutRelayHeaders(headers);
    passed.keySet().removeAll(CONNECTION_HEADERS);
    passed.putAll(resultHeaders(exchange, Result.ANSWER));
    passed.put(ANSWER_END, end.name());
    return passed;
  }

  /** Returns the headers of an answer to a relayed request. */
  static Map<String, String> resultHeaders(HttpExchange exchange, Result result) {
    Map<String, String> headers = new HashMap<>(Map.of(RESULT, result.name()));
    exchange.header(CALL).ifPresent(call -> headers.put(CALL, call));
    return headers;
  }

  /** Returns the headers of an answer that says that the relay has no room for some time. */
  static Map<String, String> noRoomHeaders(HttpExchange exchange, Duration noRoomFor) {
    Map<String, String> headers = resultHeaders(exchange, Result.NO_ROOM);
    headers.put(NO_ROOM_MILLIS, Long.toString(noRoomFor.toMillis()));
    return headers;
  }

  /** Returns which call a relay's answer names; that of an instance of an earlier release none. */
  static AnswerMatch match(long call, Map<String, String> headers) {
    return AnswerMatch.of(headers.get(CALL), Long.toString(call));
  }

  /** Returns how long a relay says that it has no room; zero if it doesn't say it. */
  static Duration noRoomFor(Map<String, String> headers) {
    try {
      return Duration.ofMillis(
          Math.clamp(
              Long.parseLong(headers.getOrDefault(NO_ROOM_MILLIS, "0")),
              0,
              MAX_NO_ROOM.toMillis()));
    } catch (NumberFormatException e) {
      LOG.debug("a relay's time without room can't be read: {}", e.getMessage());
      return Duration.ZERO;
    }
  }

  /** Returns the server's headers from the relay's answer. */
  static Map<String, String> withoutRelayHeaders(Map<String, String> headers) {
    Map<String, String> kept = new HashMap<>(headers);
    List<String> dropped = new ArrayList<>();
    kept.keySet().stream().filter(name -> name.startsWith(PREFIX)).forEach(dropped::add);
    kept.keySet().removeAll(dropped);
    return kept;
  }

  /**
   * Returns the result in a relay's answer. An instance of an earlier release gives none, and
   * neither does a relay that failed, perhaps after it had sent the request.
   */
  static Result result(int status, Map<String, String> headers) {
    String name = headers.get(RESULT);
    for (Result result : Result.values()) {
      if (result.name().equals(name)) {
        return result;
      }
    }
    return status == HttpHandler.FAILED_STATUS ? Result.NO_ANSWER : Result.REFUSED;
  }

  /** Returns how the end of the server's answer was marked. */
  static AnswerEnd answerEnd(Map<String, String> headers) {
    String name = headers.get(ANSWER_END);
    for (AnswerEnd end : AnswerEnd.values()) {
      if (end.name().equals(name)) {
        return end;
      }
    }
    return AnswerEnd.CONNECTION_CLOSED;
  }
}
