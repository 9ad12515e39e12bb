package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.decisions.DrawOrder;
import org.teaseldeal.decisions.OutagePatience;

/** Which requests need not wait for their tokens any longer, and what their callers are told. */
final class TokenRefusals {
  /** How long a request waits for others' idle tokens: they read and answer within half of it. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(1500);

  /** When to come back after waiting in vain for others' idle tokens. */
  private static final Duration COME_BACK = Duration.ofMillis(500);

  /** When to come back if only a higher total helps: the operator may raise it at any time. */
  private static final Duration COME_BACK_LOST = Duration.ofSeconds(4);

  private final LogReach log;

  TokenRefusals(LogReach log) {
    this.log = log;
  }

  /**
   * Why a request is refused now; empty if it goes on waiting.
   *
   * @param ahead tokens of those that wait before it
   */
  Optional<Problem> of(
      CustomerAccount account, WaitingRequest request, long ahead, long total, Instant now) {
    if (mayBeDrawn(account, request, now) || log.starting(now)) {
      return Optional.empty();
    }
    if (!log.asksForMore()) {
      return inOutage(account, request, ahead, total, now);
    }
    if (!account.wishDecided()) {
      return Optional.empty();
    }
    if (account.pastUnknown()) {
      return Optional.of(notAtHand(account, request, COME_BACK_LOST));
    }
    if (!account.mayCover(request.tokens(), total)) {
      return Optional.of(
          Problem.of(
              ErrorKind.BUDGET_EXHAUSTED,
              "%d tokens are needed, less remain of %d".formatted(request.tokens(), total)));
    }
    if (!account.couldBeGranted(request.tokens(), total)) {
      return Optional.of(notAtHand(account, request, COME_BACK_LOST));
    }
    // What waited out an outage has had no chance yet: its time counts from when the log was back.
    Duration waited = Duration.between(log.grantableSince(request.since()), now);
    return waited.compareTo(LONGEST_WAIT) <= 0
        ? Optional.empty()
        : Optional.of(notAtHand(account, request, COME_BACK));
  }

  /** Whether other instances may still give what a request lacks, see {@link TokenDraws}. */
  private static boolean mayBeDrawn(CustomerAccount account, WaitingRequest request, Instant now) {
    boolean asked = !now.isBefore(request.since().plus(DrawOrder.LONGEST_ROUND));
    return !asked && account.coveredWithOthers(request.tokens());
  }

  private Optional<Problem> inOutage(
      CustomerAccount account, WaitingRequest request, long ahead, long total, Instant now) {
    Duration untilReleased = account.untilReleased(ahead + request.tokens(), total, now);
    if (now.plus(untilReleased).isBefore(request.leaves())) {
      return Optional.empty();
    }
    return OutagePatience.comeBack(
            log.outage(now),
            Duration.between(now, request.leaves()),
            Duration.between(now, request.deadline()))
        .map(comeBack -> notAtHand(account, request, comeBack));
  }

  private static Problem notAtHand(
      CustomerAccount account, WaitingRequest request, Duration comeBack) {
    return Problem.retryable(
        ErrorKind.NO_LEASE,
        "%d tokens of %s are not at hand, %d are"
            .formatted(request.tokens(), account.customer(), account.idle()),
        comeBack);
  }
}
