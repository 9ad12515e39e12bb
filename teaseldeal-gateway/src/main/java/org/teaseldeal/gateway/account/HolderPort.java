package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.util.function.Consumer;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.api.Problem;

/** Asks instances that hold parts of a customer's total for tokens, and gives back what is left. */
public interface HolderPort {
  /**
   * The tokens of one request.
   *
   * @param patience how long the request may wait for them at the holder
   * @param deadline how long the request's answer is of use
   */
  record Ask(String customer, long tokens, Duration patience, Duration deadline) {
    public Ask {
      Preconditions.requireText(customer, "customer");
      Preconditions.require(tokens > 0, "tokens were %d, expected more".formatted(tokens));
    }
  }

  /** What a holder says. */
  sealed interface Answer {
    /** It has counted the tokens as spent; the asker may use them. */
    record Granted() implements Answer {}

    /** The request can't have them. */
    record Refused(Problem problem) implements Answer {}

    /** Nothing is known; if the tokens were given, they are lost. */
    record Unreachable(String detail) implements Answer {}
  }

  /**
   * Asks {@code holder} for tokens.
   *
   * @param answer is told once, soon after the ask's patience at the latest
   */
  void ask(String holder, Ask ask, Consumer<Answer> answer);

  /**
   * Gives tokens back that a holder gave and no request has used. It is told once: if that doesn't
   * arrive they are lost, and can't be used twice.
   */
  void giveBack(String holder, String customer, long tokens);
}
