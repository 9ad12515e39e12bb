package org.teaseldeal.gateway.account;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.teaseldeal.api.Problem;

/** Answers as a holder what other instances ask for: out of this instance's own accounts. */
public final class HolderAnswers {
  private final AccountBook accounts;
  private final InstantSource clock;

  /** Creates answers out of {@code accounts}. */
  public HolderAnswers(AccountBook accounts, InstantSource clock) {
    this.accounts = accounts;
    this.clock = clock;
  }

  /**
   * Answers now, or as soon as the tokens are granted or refused.
   *
   * @return takes the request back, whose asker is gone
   */
  public Runnable answer(HolderPort.Ask ask, Consumer<HolderPort.Answer> answer) {
    Instant now = clock.instant();
    Asked request = new Asked(ask.tokens(), answer);
    accounts.reserve(
        ask.customer(), ask.tokens(), now.plus(ask.patience()), now.plus(ask.deadline()), request);
    return () -> accounts.withdraw(ask.customer(), request);
  }

  private final class Asked implements ReservationListener {
    private final long tokens;
    private final Consumer<HolderPort.Answer> answer;

    Asked(long tokens, Consumer<HolderPort.Answer> answer) {
      this.tokens = tokens;
      this.answer = answer;
    }

    /** Whatever the asker makes of them, they are spent here: its answer may be lost. */
    @Override
    public void onReserved(Reservation reservation) {
      accounts.settle(reservation, tokens);
      answer.accept(new HolderPort.Answer.Granted());
    }

    @Override
    public void onRefused(Problem problem) {
      answer.accept(new HolderPort.Answer.Refused(problem));
    }
  }
}
