package org.teaseldeal.gateway.peer;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.account.DrawPort;
import org.teaseldeal.gateway.account.PrepaidAccounts;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/**
 * Draws tokens of a customer from other instances, and gives tokens to instances that draw from
 * this one.
 */
public final class TokenDrawCalls implements DrawPort, HttpHandler {
  /** The path of the HTTP call with which one instance draws tokens from another. */
  public static final String PATH = "/draws";

  private static final Logger LOG = LoggerFactory.getLogger(TokenDrawCalls.class);

  /**
   * Far longer than the two milliseconds that an answer takes. It is bounded because a round of
   * draws waits for every answer, including one that never comes.
   */
  private static final Duration TIMEOUT = Duration.ofMillis(150);

  private static final byte LAYOUT = 1;
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  private final Function<String, Optional<String>> addresses;
  private final RelayedCalls.Caller caller;
  private final PrepaidAccounts accounts;

  /**
   * Creates the draws of an instance.
   *
   * @param addresses maps another instance's name to its address, if that is known
   */
  public TokenDrawCalls(
      Function<String, Optional<String>> addresses,
      RelayedCalls.Caller caller,
      PrepaidAccounts accounts) {
    this.addresses = addresses;
    this.caller = caller;
    this.accounts = accounts;
  }

  @Override
  public void draw(String instance, String customer, long tokens, Consumer<OptionalLong> given) {
    Optional<String> address = addresses.apply(instance);
    if (address.isEmpty()) {
      given.accept(OptionalLong.empty());
      return;
    }
    byte[] body = new Draw(customer, tokens).encode();
    caller
        .call(new HttpCallRequest(address.get(), "POST", PATH, Map.of(), body, TIMEOUT))
        .whenComplete((answer, failure) -> given.accept(decode(answer, failure, tokens)));
  }

  private static OptionalLong decode(
      @Nullable HttpAnswer answer, @Nullable Throwable failure, long requested) {
    if (failure != null || answer == null || answer.status() != OK) {
      return OptionalLong.empty();
    }
    try {
      long given = Long.parseLong(new String(answer.body(), StandardCharsets.US_ASCII));
      return given >= 0 && given <= requested ? OptionalLong.of(given) : OptionalLong.empty();
    } catch (NumberFormatException e) {
      LOG.warn("the answer to a draw is not a number, so it counts as failed: {}", e.getMessage());
      return OptionalLong.empty();
    }
  }

  @Override
  public void handle(HttpExchange exchange) {
    Draw draw;
    try {
      draw = Draw.decode(exchange.body());
    } catch (IllegalArgumentException e) {
      LOG.warn("refused a draw that could not be decoded: {}", e.getMessage());
      exchange.respond(BAD_REQUEST, Map.of(), new byte[0]);
      return;
    }
    long given = accounts.giveToPeer(draw.customer(), draw.tokens());
    byte[] body = Long.toString(given).getBytes(StandardCharsets.US_ASCII);
    exchange.respond(OK, Map.of(), body);
  }

  /** A request for tokens of a customer. */
  private record Draw(String customer, long tokens) {
    Draw {
      if (tokens <= 0) {
        throw new IllegalArgumentException(
            "tokens to draw were %d, expected a positive number".formatted(tokens));
      }
    }

    byte[] encode() {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      try (DataOutputStream out = new DataOutputStream(bytes)) {
        out.writeByte(LAYOUT);
        out.writeUTF(customer);
        out.writeLong(tokens);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
      return bytes.toByteArray();
    }

    static Draw decode(byte[] body) {
      try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(body))) {
        byte layout = in.readByte();
        if (layout != LAYOUT) {
          throw new IllegalArgumentException(
              "layout of the draw was %d, expected %d".formatted(layout, LAYOUT));
        }
        return new Draw(in.readUTF(), in.readLong());
      } catch (IOException e) {
        throw new IllegalArgumentException("the draw is truncated", e);
      }
    }
  }
}
