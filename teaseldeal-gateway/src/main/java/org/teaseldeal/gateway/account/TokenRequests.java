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
import org.teaseldeal.api.ErrorKind;
import org.teaseldeal.api.Problem;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;

/**
 * Gets the tokens of each request: from the own account if this instance holds a part of the
 * customer's total, else from a holder.
 *
 * <p>A holder counts what it gives as spent, as a request of its own. What the request didn't use
 * goes back to a holder. If no holder can be reached, the request takes the way of an instance that
 * holds a part itself, which needs the shared log.
 */
public final class TokenRequests {
  /** How long a request waits at one holder, so that others can be asked after it. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(600);

  /**
   * Holders asked for a request. An instance that reaches none of them is likely to be cut off, and
   * each of them takes a quarter of a second to find that out.
   */
  private static final int MOST_ASKED = 3;

  /** A holder that can't be reached is left out for about the time that a restart takes. */
  private static final Duration UNREACHABLE_PAUSE = Duration.ofSeconds(2);

  /** Between returns; a holder that lacks these tokens meanwhile refuses what they would cover. */
  private static final Duration RETURN_PERIOD = Duration.ofMillis(200);

  private final AccountBook accounts;
  private final TokenHolders holders;
  private final HolderPort port;
  private final BooleanSupplier othersHeard;
  private final EventSink events;
  private final InstantSource clock;
  private final Set<Asking> asking = new HashSet<>();
  private final Map<String, Instant> unreachableUntil = new HashMap<>();
  private Instant nextReturn = Instant.MIN;

  /**
   * Creates requests that {@code accounts} serves where this instance holds a part.
   *
   * @param othersHeard whether any other instance has been heard lately
   */
  public TokenRequests(
      AccountBook accounts,
      TokenHolders holders,
      HolderPort port,
      BooleanSupplier othersHeard,
      EventSink events,
      InstantSource clock) {
    this.accounts = accounts;
    this.holders = holders;
    this.port = port;
    this.othersHeard = othersHeard;
    this.events = events;
    this.clock = clock;
  }

  /** Sets aside tokens for a request; see {@link AccountBook#reserve}. */
  public void reserve(
      String customer,
      long tokens,
      Instant leaves,
      Instant deadline,
      ReservationListener listener) {
    if (holders.holds(customer)) {
      accounts.reserve(customer, tokens, leaves, deadline, listener);
    } else if (!accounts.reserveDrawn(customer, tokens, listener)) {
      Asking request = new Asking(customer, tokens, leaves, deadline, listener);
      asking.add(request);
      request.askNext();
    }
  }

  /** Forgets a wish whose request is gone. */
  public void withdraw(String customer, ReservationListener listener) {
    asking.removeIf(request -> request.listener == listener);
    accounts.withdraw(customer, listener);
  }

  /** Counts {@code used} of a reservation as spent; the rest is free again. */
  public void settle(Reservation reservation, long used) {
    accounts.settle(reservation, used);
  }

  /** Whether requests of a customer wait here for their tokens, and not at a holder. */
  public boolean waitHere(String customer) {
    return holders.holds(customer);
  }

  /** Tokens of a customer that this instance has at hand. */
  public long idle(String customer) {
    return accounts.idle(customer);
  }

  /** Whether more tokens can be asked for now. */
  public boolean asksForMore() {
    return accounts.asksForMore();
  }

  /**
   * Gives back what holders gave and no request has used.
   *
   * <p>Load pattern: some instances reach the shared log and callers, and no other instance. Each
   * request would find out anew that no holder answers, and then wait until the log has been read;
   * so the log is read from the moment on in which nobody is heard any more.
   */
  public void tick() {
    Instant now = clock.instant();
    accounts.needLog(!othersHeard.getAsBoolean());
    if (now.isBefore(nextReturn)) {
      return;
    }
    nextReturn = now.plus(RETURN_PERIOD);
    for (String customer : accounts.drawnCustomers()) {
      if (!holders.holds(customer) && asking.stream().noneMatch(each -> each.isFor(customer))) {
        giveBack(customer);
      }
    }
  }

  private void giveBack(String customer) {
    holders.others(customer).stream()
        .filter(this::reachable)
        .findFirst()
        .ifPresent(holder -> port.giveBack(holder, customer, accounts.takeOutDrawn(customer)));
  }

  private boolean reachable(String holder) {
    return !clock.instant().isBefore(unreachableUntil.getOrDefault(holder, Instant.MIN));
  }

  /** One request whose tokens are asked for, from one holder after the other. */
  private final class Asking {
    private final String customer;
    private final long tokens;
    private final Instant leaves;
    private final Instant deadline;
    private final ReservationListener listener;
    private final Iterator<String> left;

    Asking(
        String customer,
        long tokens,
        Instant leaves,
        Instant deadline,
        ReservationListener listener) {
      this.customer = customer;
      this.tokens = tokens;
      this.leaves = leaves;
      this.deadline = deadline;
      this.listener = listener;
      this.left =
          othersHeard.getAsBoolean()
              ? holders.others(customer).stream()
                  .filter(TokenRequests.this::reachable)
                  .limit(MOST_ASKED)
                  .iterator()
              : Collections.emptyIterator();
    }

    boolean isFor(String wanted) {
      return customer.equals(wanted);
    }

    void askNext() {
      if (left.hasNext() && clock.instant().isBefore(leaves)) {
        ask(left.next());
      } else {
        asking.remove(this);
        accounts.reserve(customer, tokens, leaves, deadline, listener);
      }
    }

    private void ask(String holder) {
      Instant now = clock.instant();
      long lack = tokens - Math.min(accounts.drawn(customer), tokens - 1);
      Duration patience = shorter(LONGEST_WAIT, Duration.between(now, leaves));
      HolderPort.Ask ask =
          new HolderPort.Ask(customer, lack, patience, Duration.between(now, deadline));
      port.ask(holder, ask, answer -> onAnswer(holder, lack, answer));
    }

    private void onAnswer(String holder, long asked, HolderPort.Answer answer) {
      switch (answer) {
        case HolderPort.Answer.Granted granted -> onGranted(holder, asked);
        case HolderPort.Answer.Refused refused -> onRefused(refused.problem());
        case HolderPort.Answer.Unreachable lost -> {
          events.accept(new GatewayEvent.HolderUnreachable(customer, holder, lost.detail()));
          unreachableUntil.put(holder, clock.instant().plus(UNREACHABLE_PAUSE));
          goOn(this::askNext);
        }
      }
    }

    /** Another request may have taken what was here while the rest was asked for. */
    private void onGranted(String holder, long granted) {
      accounts.receive(customer, granted);
      goOn(
          () -> {
            asking.remove(this);
            if (!accounts.reserveDrawn(customer, tokens, listener)) {
              asking.add(this);
              ask(holder);
            }
          });
    }

    private void onRefused(Problem problem) {
      boolean mayBeElsewhere = problem.kind() == ErrorKind.NO_LEASE && left.hasNext();
      boolean inTime = clock.instant().plus(LONGEST_WAIT).isBefore(leaves);
      goOn(
          () -> {
            if (mayBeElsewhere && inTime) {
              askNext();
            } else {
              asking.remove(this);
              listener.onRefused(problem);
            }
          });
    }

    /** Does what comes next, unless the request is gone. */
    private void goOn(Runnable next) {
      if (asking.contains(this)) {
        next.run();
      }
    }
  }

  private static Duration shorter(Duration one, Duration other) {
    return one.compareTo(other) <= 0 ? one : other;
  }
}
