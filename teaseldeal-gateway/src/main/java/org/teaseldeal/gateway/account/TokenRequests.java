package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.teaseldeal.api.Durations;
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;

/**
 * Obtains the tokens of each request: from this instance's account if this instance holds a part of
 * the customer's total, otherwise from an instance that does (a holder).
 *
 * <p>A holder counts tokens that it gives as spent, as for a request of its own. Tokens that the
 * request did not use are returned to a holder. If no holder can be reached, this instance claims
 * the tokens itself through the shared log.
 */
public final class TokenRequests {
  /**
   * Longest time for which a request waits at one holder, so that other holders can be asked after
   * it.
   */
  private static final Duration MAX_WAIT = Duration.ofMillis(600);

  /**
   * Maximum number of holders asked for one request. An instance that reaches none of them is
   * probably partitioned from all others, and it takes 250 ms to find out that a holder can't be
   * reached.
   */
  private static final int MAX_HOLDERS_ASKED = 3;

  /** How long an unreachable holder is skipped: about the duration of a restart. */
  private static final Duration UNREACHABLE_SKIP_TIME = Duration.ofSeconds(2);

  /**
   * Interval between returns of unused tokens. Until the tokens are returned, the holder has to
   * refuse requests that they would cover.
   */
  private static final Duration RETURN_INTERVAL = Duration.ofMillis(200);

  private final PrepaidAccounts accounts;
  private final TokenHolders holders;
  private final HolderPort port;
  private final BooleanSupplier hasRecentPeerMessages;
  private final EventSink events;
  private final InstantSource clock;
  private final Set<PendingRequest> pending = new HashSet<>();
  private final Map<String, Instant> unreachableUntil = new HashMap<>();
  private Instant nextReturn = Instant.MIN;

  /**
   * Creates an instance that uses {@code accounts} for customers of whose total this instance holds
   * a part.
   *
   * @param hasRecentPeerMessages whether a message of any other instance has arrived recently
   */
  public TokenRequests(
      PrepaidAccounts accounts,
      TokenHolders holders,
      HolderPort port,
      BooleanSupplier hasRecentPeerMessages,
      EventSink events,
      InstantSource clock) {
    this.accounts = accounts;
    this.holders = holders;
    this.port = port;
    this.hasRecentPeerMessages = hasRecentPeerMessages;
    this.events = events;
    this.clock = clock;
  }

  /** Reserves tokens for a request; see {@link PrepaidAccounts#reserve}. */
  public void reserve(
      String customer,
      long tokens,
      Instant callerTimeout,
      Instant deadline,
      ReservationListener listener) {
    if (accounts.isUnlimited(customer)) {
      listener.onReserved(Reservation.NONE);
    } else if (holders.holds(customer)) {
      accounts.reserve(customer, tokens, callerTimeout, deadline, listener);
    } else if (!accounts.reserveDrawn(customer, tokens, listener)) {
      PendingRequest request =
          new PendingRequest(customer, tokens, callerTimeout, deadline, listener);
      pending.add(request);
      request.requestFromNext();
    }
  }

  /** Cancels the token request of a request that has ended. */
  public void cancel(String customer, ReservationListener listener) {
    pending.removeIf(request -> request.listener == listener);
    accounts.cancel(customer, listener);
  }

  /** Counts {@code used} tokens of a reservation as spent and frees the rest. */
  public void settle(Reservation reservation, long used) {
    accounts.settle(reservation, used);
  }

  /**
   * Returns whether requests of the customer wait for tokens at this instance instead of at a
   * holder.
   */
  public boolean waitsLocally(String customer) {
    return holders.holds(customer);
  }

  /** Returns the number of the customer's tokens that are idle at this instance. */
  public long idle(String customer) {
    return accounts.idle(customer);
  }

  /** Returns whether this instance can currently claim more tokens through the log. */
  public boolean acceptsClaims() {
    return accounts.acceptsClaims();
  }

  /**
   * Returns to the holders the tokens that they gave and that no request has used.
   *
   * <p>Some instances may reach the shared log and their callers but no other instance. Each
   * request would then find out again that no holder answers, and wait until the log has been
   * loaded. Therefore the log is read as soon as no messages of other instances arrive any more.
   */
  public void tick() {
    Instant now = clock.instant();
    accounts.requireLog(!hasRecentPeerMessages.getAsBoolean());
    if (now.isBefore(nextReturn)) {
      return;
    }
    nextReturn = now.plus(RETURN_INTERVAL);
    for (String customer : accounts.customersWithDrawnTokens()) {
      if (!holders.holds(customer) && pending.stream().noneMatch(each -> each.isFor(customer))) {
        returnUnused(customer);
      }
    }
  }

  private void returnUnused(String customer) {
    holders.otherHolders(customer).stream()
        .filter(this::reachable)
        .findFirst()
        .ifPresent(holder -> port.returnTokens(holder, customer, accounts.removeDrawn(customer)));
  }

  private boolean reachable(String holder) {
    return !clock.instant().isBefore(unreachableUntil.getOrDefault(holder, Instant.MIN));
  }

  /** One request for tokens that is sent to one holder after the other. */
  private final class PendingRequest {
    private final String customer;
    private final long tokens;
    private final Instant callerTimeout;
    private final Instant deadline;
    private final ReservationListener listener;
    private final Iterator<String> remainingHolders;

    PendingRequest(
        String customer,
        long tokens,
        Instant callerTimeout,
        Instant deadline,
        ReservationListener listener) {
      this.customer = customer;
      this.tokens = tokens;
      this.callerTimeout = callerTimeout;
      this.deadline = deadline;
      this.listener = listener;
      this.remainingHolders =
          hasRecentPeerMessages.getAsBoolean()
              ? holders.otherHolders(customer).stream()
                  .filter(TokenRequests.this::reachable)
                  .limit(MAX_HOLDERS_ASKED)
                  .iterator()
              : Collections.emptyIterator();
    }

    boolean isFor(String otherCustomer) {
      return customer.equals(otherCustomer);
    }

    void requestFromNext() {
      if (remainingHolders.hasNext() && clock.instant().isBefore(callerTimeout)) {
        requestFrom(remainingHolders.next());
      } else {
        pending.remove(this);
        reserveHere();
      }
    }

    /** Reserves tokens of this instance's account, unless the total was removed meanwhile. */
    private void reserveHere() {
      if (accounts.isUnlimited(customer)) {
        listener.onRefused(RefusalPolicy.totalRemoved(customer));
      } else {
        accounts.reserve(customer, tokens, callerTimeout, deadline, listener);
      }
    }

    private void requestFrom(String holder) {
      Instant now = clock.instant();
      long missing = tokens - Math.min(accounts.drawn(customer), tokens - 1);
      Duration maxWait = Durations.shorter(MAX_WAIT, Duration.between(now, callerTimeout));
      HolderPort.Request request =
          new HolderPort.Request(
              customer,
              missing,
              maxWait,
              Duration.between(now, deadline),
              accounts.total(customer));
      port.request(holder, request, answer -> onAnswer(holder, missing, answer));
    }

    private void onAnswer(String holder, long requestedTokens, HolderPort.Answer answer) {
      switch (answer) {
        case HolderPort.Answer.Granted granted -> onGranted(holder, requestedTokens);
        case HolderPort.Answer.Refused refused -> onRefused(refused.problem());
        case HolderPort.Answer.UnknownCustomer unknown ->
            continueUnlessCancelled(this::requestFromNext);
        case HolderPort.Answer.Unreachable unreachable -> {
          events.accept(new GatewayEvent.HolderUnreachable(customer, holder, unreachable.detail()));
          unreachableUntil.put(holder, clock.instant().plus(UNREACHABLE_SKIP_TIME));
          continueUnlessCancelled(this::requestFromNext);
        }
      }
    }

    /**
     * Reserves the tokens once the holder has given the missing part. Meanwhile another request may
     * have taken the tokens that were already here; then the holder is asked again.
     */
    private void onGranted(String holder, long grantedTokens) {
      accounts.addDrawn(customer, grantedTokens);
      continueUnlessCancelled(
          () -> {
            pending.remove(this);
            if (!accounts.reserveDrawn(customer, tokens, listener)) {
              pending.add(this);
              requestFrom(holder);
            }
          });
    }

    private void onRefused(Problem problem) {
      boolean otherHolderMayGrant =
          problem.kind() == ErrorKind.NO_LEASE && remainingHolders.hasNext();
      boolean inTime = clock.instant().plus(MAX_WAIT).isBefore(callerTimeout);
      continueUnlessCancelled(
          () -> {
            if (otherHolderMayGrant && inTime) {
              requestFromNext();
            } else {
              pending.remove(this);
              listener.onRefused(problem);
            }
          });
    }

    /** Runs {@code next} unless the request has been cancelled. */
    private void continueUnlessCancelled(Runnable next) {
      if (pending.contains(this)) {
        next.run();
      }
    }
  }
}
