package org.teaseldeal.router.caller;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.Result;
import org.teaseldeal.core.BearerToken;
import org.teaseldeal.core.Payload;
import org.teaseldeal.net.HttpExchange;

/** Parses the requests of callers, or returns the problem that makes a request invalid. */
final class RequestReader {
  static final String CHAT_COMPLETIONS = "/v1/chat/completions";

  private static final Pattern PLAIN_SERVICE_PATH =
      Pattern.compile("/services/([a-z0-9][a-z0-9._-]{0,62})/([a-z0-9][a-z0-9._-]{0,62})([/?].*)?");
  private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");
  private static final Pattern MILLIS = Pattern.compile("[0-9]{1,9}");
  private static final Duration SHORTEST_TIMEOUT = Duration.ofMillis(1);
  private static final String BEARER = "bearer ";

  private RequestReader() {}

  static Result<ParsedRequest> read(HttpExchange exchange) {
    try {
      return route(exchange);
    } catch (IllegalArgumentException e) {
      return Result.err(Problem.of(ErrorKind.MALFORMED_REQUEST, String.valueOf(e.getMessage())));
    }
  }

  private static Result<ParsedRequest> route(HttpExchange exchange) {
    String path = exchange.path();
    if (withoutQuery(path).equals(CHAT_COMPLETIONS)) {
      return Result.ok(chatCompletion(exchange));
    }
    Matcher plain = PLAIN_SERVICE_PATH.matcher(path);
    if (!plain.matches()) {
      return Result.err(Problem.of(ErrorKind.UNKNOWN_SERVICE, "nothing is served at this path"));
    }
    return Result.ok(plainCall(exchange, plain));
  }

  private static ParsedRequest chatCompletion(HttpExchange exchange) {
    ChatCompletion chat = ChatCompletion.read(exchange.body());
    return request(exchange, chat.model(), chat.payload());
  }

  private static ParsedRequest plainCall(HttpExchange exchange, Matcher path) {
    String subPath = Optional.ofNullable(path.group(3)).orElse("/");
    Payload payload =
        new Payload.PlainCall(
            exchange.method(),
            subPath.startsWith("/") ? subPath : "/" + subPath,
            exchange.header("Content-Type").orElse(""),
            exchange.body());
    return request(exchange, path.group(1) + "/" + path.group(2), payload);
  }

  private static ParsedRequest request(HttpExchange exchange, String service, Payload payload) {
    return new ParsedRequest(
        exchange.header("Authorization").flatMap(RequestReader::bearerToken),
        service,
        exchange.header("Idempotency-Key").map(RequestReader::idempotencyKey),
        exchange.header("Request-Timeout-Ms").map(header -> remainingTimeout(header, exchange)),
        payload);
  }

  /**
   * Returns the methods that are supported at the request's path, if its own method is not among
   * them; otherwise empty.
   */
  static Optional<String> allowedMethodsOnMismatch(HttpExchange exchange) {
    if (withoutQuery(exchange.path()).equals(CHAT_COMPLETIONS)) {
      return Optional.of("POST").filter(allowed -> !allowed.equals(exchange.method()));
    }
    // Every other method is forwarded to a plain service; CONNECT asks for a tunnel instead.
    return exchange.method().equals("CONNECT")
        ? Optional.of("GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS")
        : Optional.empty();
  }

  private static Optional<BearerToken> bearerToken(String header) {
    if (!header.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
      return Optional.empty();
    }
    String secret = header.substring(BEARER.length()).trim();
    return secret.isEmpty() ? Optional.empty() : Optional.of(new BearerToken(secret));
  }

  private static String idempotencyKey(String header) {
    if (!IDEMPOTENCY_KEY.matcher(header).matches()) {
      throw new IllegalArgumentException(
          "Idempotency-Key was %d characters long, expected 1 to 255 visible ASCII characters"
              .formatted(header.length()));
    }
    return header;
  }

  /**
   * Returns the part of the caller's timeout that is left. The timeout runs from the moment when
   * the caller sent the head of its request; receiving a large body may have used up part of it.
   */
  private static Duration remainingTimeout(String header, HttpExchange exchange) {
    Duration remaining = timeout(header).minus(exchange.timeSinceHead());
    return remaining.compareTo(SHORTEST_TIMEOUT) < 0 ? SHORTEST_TIMEOUT : remaining;
  }

  private static Duration timeout(String header) {
    if (!MILLIS.matcher(header).matches() || Long.parseLong(header) == 0) {
      throw new IllegalArgumentException(
          "Request-Timeout-Ms was not a whole number from 1 to 999999999");
    }
    return Duration.ofMillis(Long.parseLong(header));
  }

  private static String withoutQuery(String path) {
    int query = path.indexOf('?');
    return query < 0 ? path : path.substring(0, query);
  }
}
