package org.teaseldeal.gateway.account;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.teaseldeal.decisions.DrawOrder;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;

/**
 * Obtains idle tokens from peers for requests that have not been granted tokens through the log in
 * time.
 *
 * <p>The giving instance counts the given tokens as spent, within the limit that its own published
 * notes allow, and sends its answer once. Therefore no note is needed for the transfer. A lost
 * answer loses the tokens but never lets both instances use them.
 */
public final class TokenDraws {
  private final PrepaidAccounts accounts;
  private final DrawPort port;
  private final EventSink events;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Set<String> customersInRound = new HashSet<>();
  private final Map<String, Instant> nextRounds = new HashMap<>();
  private final Map<String, Instant> unreachableUntil = new HashMap<>();

  /** Creates an instance that obtains tokens for the waiting requests of {@code accounts}. */
  public TokenDraws(
      PrepaidAccounts accounts,
      DrawPort port,
      EventSink events,
      InstantSource clock,
      RandomGenerator random) {
    this.accounts = accounts;
    this.port = port;
    this.events = events;
    this.clock = clock;
    this.random = random;
  }

  /** Starts a round of requests to peers for each customer whose requests have waited too long. */
  public void tick() {
    Instant now = clock.instant();
    for (String customer : accounts.customersWaitingSince(now.minus(DrawOrder.FIRST_ROUND_DELAY))) {
      boolean betweenRounds = now.isBefore(nextRounds.getOrDefault(customer, Instant.MIN));
      if (!betweenRounds && customersInRound.add(customer)) {
        Map<String, Long> idle = accounts.idleByPeer(customer);
        idle.keySet().removeIf(instance -> unreachable(instance, now));
        new Round(customer, DrawOrder.peersToAsk(idle, random).iterator()).askNext();
      }
    }
  }

  private boolean unreachable(String instance, Instant now) {
    return now.isBefore(unreachableUntil.getOrDefault(instance, Instant.MIN));
  }

  /**
   * One round in which the peers are asked one after the other, each for the number of tokens that
   * is still missing by then.
   */
  private final class Round {
    private final String customer;
    private final Iterator<String> remainingInstances;
    private final Instant startedAt = clock.instant();
    private long gained;

    Round(String customer, Iterator<String> instances) {
      this.customer = customer;
      this.remainingInstances = instances;
    }

    void askNext() {
      long missing = accounts.shortfall(customer);
      if (missing == 0 || !remainingInstances.hasNext()) {
        end();
        return;
      }
      String instance = remainingInstances.next();
      port.draw(instance, customer, missing, given -> onGiven(instance, given));
    }

    private void onGiven(String instance, OptionalLong given) {
      if (given.isEmpty()) {
        unreachableUntil.put(instance, clock.instant().plus(DrawOrder.UNREACHABLE_SKIP_TIME));
      } else if (given.getAsLong() > 0) {
        gained += given.getAsLong();
        accounts.addDrawn(customer, given.getAsLong());
      }
      askNext();
    }

    private void end() {
      customersInRound.remove(customer);
      nextRounds.put(customer, clock.instant().plus(DrawOrder.ROUND_INTERVAL));
      if (gained > 0) {
        Duration took = Duration.between(startedAt, clock.instant());
        events.accept(new GatewayEvent.TokensDrawn(customer, gained, took));
      }
    }
  }
}
