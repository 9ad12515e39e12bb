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
 * Draws on other instances' idle tokens for requests that the log hasn't served in time.
 *
 * <p>The giver counts what it gives as spent, within what its own notes let it use, and tells it
 * once. So it needs no note, and an answer that is lost loses tokens and never doubles them.
 */
public final class TokenDraws {
  private final AccountBook accounts;
  private final DrawPort port;
  private final EventSink events;
  private final InstantSource clock;
  private final RandomGenerator random;
  private final Set<String> drawing = new HashSet<>();
  private final Map<String, Instant> nextRounds = new HashMap<>();
  private final Map<String, Instant> unreachableUntil = new HashMap<>();

  /** Creates draws for the requests of {@code accounts}. */
  public TokenDraws(
      AccountBook accounts,
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

  /** Begins a round of asking for each customer whose requests have waited too long. */
  public void tick() {
    Instant now = clock.instant();
    for (String customer : accounts.lacking(now.minus(DrawOrder.ASK_AFTER))) {
      boolean pauses = now.isBefore(nextRounds.getOrDefault(customer, Instant.MIN));
      if (!pauses && drawing.add(customer)) {
        Map<String, Long> idle = accounts.idleElsewhere(customer);
        idle.keySet().removeIf(instance -> unreachable(instance, now));
        new Round(customer, DrawOrder.of(idle, random).iterator()).next();
      }
    }
  }

  private boolean unreachable(String instance, Instant now) {
    return now.isBefore(unreachableUntil.getOrDefault(instance, Instant.MIN));
  }

  /** One round of asking; each instance is asked for what is lacking by then. */
  private final class Round {
    private final String customer;
    private final Iterator<String> instances;
    private final Instant began = clock.instant();
    private long gained;

    Round(String customer, Iterator<String> instances) {
      this.customer = customer;
      this.instances = instances;
    }

    void next() {
      long lacks = accounts.lack(customer);
      if (lacks == 0 || !instances.hasNext()) {
        end();
        return;
      }
      String instance = instances.next();
      port.draw(instance, customer, lacks, given -> onGiven(instance, given));
    }

    private void onGiven(String instance, OptionalLong given) {
      if (given.isEmpty()) {
        unreachableUntil.put(instance, clock.instant().plus(DrawOrder.UNREACHABLE_PAUSE));
      } else if (given.getAsLong() > 0) {
        gained += given.getAsLong();
        accounts.receive(customer, given.getAsLong());
      }
      next();
    }

    private void end() {
      drawing.remove(customer);
      nextRounds.put(customer, clock.instant().plus(DrawOrder.ROUND_PAUSE));
      if (gained > 0) {
        Duration took = Duration.between(began, clock.instant());
        events.accept(new GatewayEvent.TokensDrawn(customer, gained, took));
      }
    }
  }
}
