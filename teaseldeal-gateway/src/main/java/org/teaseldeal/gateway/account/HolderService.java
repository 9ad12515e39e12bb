package org.teaseldeal.gateway.account;

import java.time.Instant;
import java.time.InstantSource;
import java.util.function.Consumer;
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
    PeerRequest listener = new PeerRequest(request.tokens(), answer);
    accounts.reserve(
        request.customer(),
        request.tokens(),
        now.plus(request.maxWait()),
        now.plus(request.timeLeft()),
        listener);
    return () -> accounts.cancel(request.customer(), listener);
  }

  private final class PeerRequest implements ReservationListener {
    private final long tokens;
    private final Consumer<HolderPort.Answer> answer;

    PeerRequest(long tokens, Consumer<HolderPort.Answer> answer) {
      this.tokens = tokens;
      this.answer = answer;
    }

    /**
     * Counts the tokens as spent at once, since this instance can't learn whether its answer
     * arrives.
     */
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
