package org.teaseldeal.gateway.peer;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.stream.StreamKey;
import org.teaseldeal.gateway.stream.StreamOrigins;
import org.teaseldeal.gateway.stream.StreamPeers;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Tells other instances at which software version streams began, in datagrams, and asks for it in
 * calls. A lost datagram costs little, as each stream is told to several instances.
 */
public final class StreamOriginCalls implements StreamPeers {
  /** The path of the HTTP call that asks for the version of a stream. */
  public static final String PATH = "/stream-origins";

  private static final Logger LOG = LoggerFactory.getLogger(StreamOriginCalls.class);

  /**
   * Far longer than the few milliseconds that an answer takes. It is bounded because a caller waits
   * if the instances that know its stream are down.
   */
  private static final Duration TIMEOUT = Duration.ofMillis(150);

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int BAD_REQUEST = 400;

  private final Function<String, Optional<String>> addresses;
  private final RelayedCalls.Caller caller;
  private final PeerTransport transport;

  /**
   * Creates the calls of an instance.
   *
   * @param addresses maps another instance's name to its address, if that is known
   */
  public StreamOriginCalls(
      Function<String, Optional<String>> addresses,
      RelayedCalls.Caller caller,
      PeerTransport transport) {
    this.addresses = addresses;
    this.caller = caller;
    this.transport = transport;
  }

  @Override
  public void announce(String instance, StreamKey stream, String version) {
    byte[] message = new StreamOriginMessage(stream, version).encode();
    addresses.apply(instance).ifPresent(address -> transport.send(address, message));
  }

  @Override
  public void ask(String instance, StreamKey stream, Consumer<Answer> answer) {
    Optional<String> address = addresses.apply(instance);
    if (address.isEmpty()) {
      answer.accept(new Answer.Unreachable("its address isn't known"));
      return;
    }
    byte[] body = Long.toHexString(stream.hash()).getBytes(StandardCharsets.US_ASCII);
    caller
        .call(new HttpCallRequest(address.get(), "POST", PATH, Map.of(), body, TIMEOUT))
        .whenComplete((response, failure) -> answer.accept(decode(response, failure)));
  }

  private static Answer decode(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (failure != null || answer == null) {
      return new Answer.Unreachable(failure == null ? "" : String.valueOf(failure.getMessage()));
    }
    return switch (answer.status()) {
      case OK -> new Answer.Known(answer.text());
      case NOT_FOUND -> new Answer.Unknown();
      default -> new Answer.Unreachable("status " + answer.status());
    };
  }

  /** Returns the handler of other instances' questions. */
  public static HttpHandler handler(StreamOrigins origins) {
    return exchange -> answer(origins, exchange);
  }

  private static void answer(StreamOrigins origins, HttpExchange exchange) {
    Optional<String> version;
    try {
      String key = new String(exchange.body(), StandardCharsets.US_ASCII);
      version = origins.find(new StreamKey(Long.parseUnsignedLong(key, 16)));
    } catch (NumberFormatException e) {
      LOG.warn("refused a question for a stream that could not be decoded: {}", e.getMessage());
      exchange.respond(BAD_REQUEST, Map.of(), new byte[0]);
      return;
    }
    exchange.respond(
        version.isPresent() ? OK : NOT_FOUND,
        Map.of(),
        version.orElse("").getBytes(StandardCharsets.UTF_8));
  }
}
