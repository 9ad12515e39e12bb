package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.teaseldeal.api.Durations;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.decisions.DrawOrder;
import org.teaseldeal.decisions.OutageRetryPolicy;

/** Decides which waiting requests are refused, and with which problem. */
final class RefusalPolicy {
  /**
   * How long a request waits for other instances to return idle tokens. Reading the request's note
   * and answering it takes them at most half of this time.
   */
  private static final Duration MAX_WAIT = Duration.ofMillis(1500);

  /**
   * Retry delay for a request that has waited without success for idle tokens of other instances.
   */
  private static final Duration RETRY_AFTER = Duration.ofMillis(500);

  /**
   * Retry delay for a request that only a higher total can cover; the operator may raise the total
   * at any time.
   */
  private static final Duration RETRY_AFTER_EXHAUSTED = Duration.ofSeconds(4);

  /**
   * How long before its caller stops waiting a request is refused at the latest; less for callers
   * that wait for a short time.
   */
  private static final Duration MAX_REFUSAL_LEAD_TIME = Duration.ofMillis(200);

  /** The part of a caller's waiting time that the lead time takes at most, as a divisor. */
  private static final int LEAD_TIME_DIVISOR = 4;

  private final LogAvailability log;

  RefusalPolicy(LogAvailability log) {
    this.log = log;
  }

  /**
   * Returns why a request is refused now; empty if it continues to wait. Whatever it waits for, it
   * is refused before its caller stops waiting.
   *
   * @param ahead number of tokens needed by the requests that wait before this one
   */
  Optional<Problem> refusal(
      CustomerAccount account, WaitingRequest request, long ahead, long total, Instant now) {
    Optional<Problem> refusal = refusalWhileCallerWaits(account, request, ahead, total, now);
    return refusal.isPresent() || now.isBefore(latestRefusal(request))
        ? refusal
        : Optional.of(noLease(account, request, RETRY_AFTER));
  }

  private static Instant latestRefusal(WaitingRequest request) {
    Duration patience = Duration.between(request.waitingSince(), request.callerTimeout());
    Duration leadTime =
        Durations.shorter(MAX_REFUSAL_LEAD_TIME, patience.dividedBy(LEAD_TIME_DIVISOR));
    return request.callerTimeout().minus(leadTime);
  }

  private Optional<Problem> refusalWhileCallerWaits(
      CustomerAccount account, WaitingRequest request, long ahead, long total, Instant now) {
    if (peersMayGive(account, request, now) || log.initialLoadPending(now)) {
      return Optional.empty();
    }
    if (!log.acceptsClaims()) {
      return refusalInOutage(account, request, ahead, total, now);
    }
    if (!account.claimDecided()) {
      return Optional.empty();
    }
    if (account.pastUnknown()) {
      return Optional.of(noLease(account, request, RETRY_AFTER_EXHAUSTED));
    }
    if (!account.mayCover(request.tokens(), total)) {
      return Optional.of(exhausted(request.tokens(), total));
    }
    if (!account.couldBeGranted(request.tokens(), total)) {
      return Optional.of(noLease(account, request, RETRY_AFTER_EXHAUSTED));
    }
    // A request that waited during an outage could not be granted tokens, so its waiting time
    // counts from the end of the outage.
    Duration waited = Duration.between(log.earliestGrant(request.waitingSince()), now);
    return waited.compareTo(MAX_WAIT) <= 0
        ? Optional.empty()
        : Optional.of(noLease(account, request, RETRY_AFTER));
  }

  /** Returns whether peers may still give the missing tokens; see {@link TokenDraws}. */
  private static boolean peersMayGive(
      CustomerAccount account, WaitingRequest request, Instant now) {
    boolean peersAsked = !now.isBefore(request.waitingSince().plus(DrawOrder.MAX_ROUND_TIME));
    return !peersAsked && account.coveredWithPeers(request.tokens());
  }

  private Optional<Problem> refusalInOutage(
      CustomerAccount account, WaitingRequest request, long ahead, long total, Instant now) {
    Duration untilReleased = account.untilReleased(ahead + request.tokens(), total, now);
    if (now.plus(untilReleased).isBefore(request.callerTimeout())) {
      return Optional.empty();
    }
    return OutageRetryPolicy.retryAfter(
            log.outageDuration(now),
            Duration.between(now, request.callerTimeout()),
            Duration.between(now, request.deadline()))
        .map(retryAfter -> noLease(account, request, retryAfter));
  }

  /**
   * Returns the problem of a request that waits for tokens of a total that has been removed. The
   * new configuration may allow it without tokens, or no longer at all, so the caller asks again.
   */
  static Problem totalRemoved(String customer) {
    return Problem.retryable(
        ErrorKind.NO_LEASE, "the total of %s was removed".formatted(customer), RETRY_AFTER);
  }

  /**
   * Returns the problem of a request that a holder can't cover whose configuration has a lower
   * total than that of the instance that asks. One of the two is about to change, so the caller
   * asks again.
   */
  static Problem lowerTotal(long total, long knownTotal) {
    return Problem.retryable(
        ErrorKind.NO_LEASE,
        "the holder's total is %d, expected %d".formatted(total, knownTotal),
        RETRY_AFTER);
  }

  /** Returns the problem of a request that needs more tokens than remain of the total. */
  static Problem exhausted(long tokens, long total) {
    return Problem.of(
        ErrorKind.BUDGET_EXHAUSTED,
        "%d tokens are needed, less remain of %d".formatted(tokens, total));
  }

  private static Problem noLease(
      CustomerAccount account, WaitingRequest request, Duration retryAfter) {
    return Problem.retryable(
        ErrorKind.NO_LEASE,
        "%d tokens of %s are not at hand, %d are"
            .formatted(request.tokens(), account.customer(), account.idle()),
        retryAfter);
  }
}
