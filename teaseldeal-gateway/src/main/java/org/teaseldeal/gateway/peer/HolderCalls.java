package org.teaseldeal.gateway.peer;

import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.teaseldeal.gateway.account.HolderPort;
import org.teaseldeal.gateway.account.HolderService;
import org.teaseldeal.gateway.account.PrepaidAccounts;
import org.teaseldeal.net.HttpAnswer;
import org.teaseldeal.net.HttpCallRequest;
import org.teaseldeal.net.HttpExchange;
import org.teaseldeal.net.HttpHandler;

/** Requests tokens from the holders of customers' totals, and answers such requests as a holder. */
public final class HolderCalls implements HolderPort, HttpHandler {
  /** The path of the HTTP call that requests tokens from a holder. */
  public static final String PATH = "/reservations";

  /** The path of the HTTP call that returns unused tokens to a holder. */
  public static final String RETURNS_PATH = "/returns";

  private static final Logger LOG = LoggerFactory.getLogger(HolderCalls.class);

  /** The time allowed for the round trip to the holder, in addition to the wait there. */
  private static final Duration ROUND_TRIP_ALLOWANCE = Duration.ofMillis(150);

  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;
  private static final int UNAVAILABLE = 503;

  /** The status of an answer of a holder whose configuration lacks the customer. */
  private static final int UNKNOWN_CUSTOMER = 409;

  private final Function<String, Optional<String>> addresses;
  private final RelayedCalls.Caller caller;
  private final PrepaidAccounts accounts;
  private final HolderService holderService;

  /**
   * Creates the calls of an instance.
   *
   * @param addresses maps another instance's name to its address, if that is known
   */
  public HolderCalls(
      Function<String, Optional<String>> addresses,
      RelayedCalls.Caller caller,
      PrepaidAccounts accounts,
      InstantSource clock) {
    this.addresses = addresses;
    this.caller = caller;
    this.accounts = accounts;
    this.holderService = new HolderService(accounts, clock);
  }

  @Override
  public void request(String holder, Request request, Consumer<Answer> answer) {
    Optional<String> address = addresses.apply(holder);
    if (address.isEmpty()) {
      answer.accept(new Answer.Unreachable("its address isn't known"));
      return;
    }
    byte[] body = HolderMessages.encode(request);
    Duration timeout = request.maxWait().plus(ROUND_TRIP_ALLOWANCE);
    caller
        .call(new HttpCallRequest(address.get(), "POST", PATH, Map.of(), body, timeout))
        .whenComplete((response, failure) -> answer.accept(decode(response, failure)));
  }

  @Override
  public void returnTokens(String holder, String customer, long tokens) {
    byte[] body = new HolderMessages.Return(customer, tokens).encode();
    addresses
        .apply(holder)
        .ifPresent(
            address ->
                caller
                    .call(
                        new HttpCallRequest(
                            address, "POST", RETURNS_PATH, Map.of(), body, ROUND_TRIP_ALLOWANCE))
                    .whenComplete((response, failure) -> logFailedReturn(holder, tokens, failure)));
  }

  private static void logFailedReturn(String holder, long tokens, @Nullable Throwable failure) {
    if (failure != null) {
      LOG.info(
          "{} tokens may not have been returned to {}: {}", tokens, holder, failure.getMessage());
    }
  }

  private static Answer decode(@Nullable HttpAnswer answer, @Nullable Throwable failure) {
    if (failure != null || answer == null) {
      return new Answer.Unreachable(failure == null ? "" : String.valueOf(failure.getMessage()));
    }
    if (answer.status() == UNKNOWN_CUSTOMER) {
      return new Answer.UnknownCustomer();
    }
    if (answer.status() != OK) {
      return new Answer.Unreachable("status " + answer.status());
    }
    try {
      return HolderMessages.decodeAnswer(answer.body());
    } catch (IllegalArgumentException e) {
      return new Answer.Unreachable(String.valueOf(e.getMessage()));
    }
  }

  @Override
  public void handle(HttpExchange exchange) {
    Request request;
    try {
      request = HolderMessages.decodeRequest(exchange.body());
    } catch (IllegalArgumentException e) {
      LOG.warn("refused a request for tokens that could not be decoded: {}", e.getMessage());
      exchange.respond(BAD_REQUEST, Map.of(), new byte[0]);
      return;
    }
    if (!accounts.knowsTotal(request.customer())) {
      exchange.respond(UNKNOWN_CUSTOMER, Map.of(), new byte[0]);
      return;
    }
    if (!accounts.mayGiveTokens()) {
      // The instance stops. Another holder may serve the request.
      exchange.respond(UNAVAILABLE, Map.of(), new byte[0]);
      return;
    }
    exchange.onCallerDisconnect(
        holderService.answer(request, answer -> exchange.respond(OK, Map.of(), encode(answer))));
  }

  private static byte[] encode(Answer answer) {
    return switch (answer) {
      case Answer.Granted granted -> HolderMessages.encodeGranted();
      case Answer.Refused refused -> HolderMessages.encodeRefused(refused.problem());
      case Answer.UnknownCustomer unknown -> throw notEncodable(unknown);
      case Answer.Unreachable lost -> throw notEncodable(lost);
    };
  }

  private static IllegalArgumentException notEncodable(Answer answer) {
    return new IllegalArgumentException("the answer %s has no body".formatted(answer));
  }

  /** Handles a call in which another instance returns unused tokens. */
  public void handleReturn(HttpExchange exchange) {
    try {
      HolderMessages.Return returned = HolderMessages.Return.decode(exchange.body());
      accounts.takeBackUnused(returned.customer(), returned.tokens());
      exchange.respond(OK, Map.of(), new byte[0]);
    } catch (IllegalArgumentException e) {
      LOG.warn("refused a return of tokens that could not be decoded: {}", e.getMessage());
      exchange.respond(BAD_REQUEST, Map.of(), new byte[0]);
    }
  }
}
