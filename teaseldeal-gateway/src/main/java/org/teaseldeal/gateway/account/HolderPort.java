package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.util.function.Consumer;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.Problem;
import org.teaseldeal.api.TokenCounts;

/**
 * Requests tokens from instances that hold a part of a customer's total (holders), and returns
 * unused tokens to them.
 */
public interface HolderPort {
  /**
   * A request for the tokens of one caller's request.
   *
   * @param customer the customer whose total the tokens come from
   * @param tokens number of tokens, greater than 0 and at most {@link TokenCounts#MAX_TOTAL}
   * @param maxWait how long the request may wait for the tokens at the holder
   * @param timeLeft how long the answer is of use to the caller
   * @param knownTotal the customer's total in the configuration of the instance that asks; 0 if it
   *     doesn't say it
   */
  record Request(
      String customer, long tokens, Duration maxWait, Duration timeLeft, long knownTotal) {
    public Request {
      Preconditions.requireText(customer, "customer");
      Preconditions.require(
          tokens > 0 && tokens <= TokenCounts.MAX_TOTAL,
          "tokens were %d, expected 1 to %d".formatted(tokens, TokenCounts.MAX_TOTAL));
    }
  }

  /** The outcome of a request to a holder. */
  sealed interface Answer {
    /** The holder has counted the tokens as spent; the requesting instance may use them. */
    record Granted() implements Answer {}

    /** The holder has refused the tokens. */
    record Refused(Problem problem) implements Answer {}

    /** The holder's configuration lacks the customer, so it has given nothing. */
    record UnknownCustomer() implements Answer {}

    /** The outcome is unknown; if the holder gave the tokens, they are lost. */
    record Unreachable(String detail) implements Answer {}
  }

  /**
   * Requests tokens from {@code holder}.
   *
   * @param answer called once, at the latest shortly after the request's maximum wait has passed
   */
  void request(String holder, Request request, Consumer<Answer> answer);

  /**
   * Returns tokens that a holder gave and no request has used. The message is sent only once: if it
   * is lost, the tokens are lost too, but they can't be used twice.
   */
  void returnTokens(String holder, String customer, long tokens);
}
