package org.teaseldeal.gateway.account;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;

/** Answers the token requests of other instances out of this instance's own accounts. */
public final class HolderService {
  private final PrepaidAccounts accounts;
  private final InstantSource clock;

  /** Creates an instance that answers out of {@code accounts}. */
  public HolderService(PrepaidAccounts accounts, InstantSource clock) {
    this.accounts = accounts;
    this.clock = clock;
  }

  /**
   * Answers immediately, or as soon as the tokens have been granted or refused.
   *
   * @return an action that cancels the request, for use when the requesting instance no longer
   *     needs it
   */
  public Runnable answer(HolderPort.Request request, Consumer<HolderPort.Answer> answer) {
    Instant now = clock.instant();
    PeerRequest listener = new PeerRequest(request, answer);
    accounts.reserve(
        request.customer(),
        request.tokens(),
        now.plus(request.maxWait()),
        now.plus(request.timeLeft()),
        listener);
    return () -> accounts.cancel(request.customer(), listener);
  }

  private final class PeerRequest implements ReservationListener {
    private final HolderPort.Request request;
    private final Consumer<HolderPort.Answer> answer;

    PeerRequest(HolderPort.Request request, Consumer<HolderPort.Answer> answer) {
      this.request = request;
      this.answer = answer;
    }

    /**
     * Counts the tokens as spent at once, since this instance can't learn whether its answer
     * arrives.
     */
    @Override
    public void onReserved(Reservation reservation) {
      accounts.settle(reservation, request.tokens());
      answer.accept(new HolderPort.Answer.Granted());
    }

    @Override
    public void onRefused(Problem problem) {
      answer.accept(new HolderPort.Answer.Refused(unlessTotalIsLower(problem)));
    }

    /** That a total is used up holds only by the newer of two configurations. */
    private Problem unlessTotalIsLower(Problem problem) {
      long total = accounts.total(request.customer());
      return problem.kind() == ErrorKind.BUDGET_EXHAUSTED && total < request.knownTotal()
          ? RefusalPolicy.lowerTotal(total, request.knownTotal())
          : problem;
    }
  }
}
