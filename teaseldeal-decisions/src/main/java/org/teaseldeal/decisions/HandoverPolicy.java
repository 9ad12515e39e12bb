package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.teaseldeal.api.Durations;

/**
 * Decides whether an instance serves a request itself or hands it over to another instance, and to
 * which one.
 *
 * <p>Load balancers that map each caller to one instance send most callers of a data centre to a
 * few of its instances, which can't keep up while the others idle. An instance hands a request over
 * if it would wait for the event loop for more than an eighth of its aim, and only to an instance
 * that it has heard of within the last second. An instance that is cut off from all others thus
 * serves its callers itself.
 */
public final class HandoverPolicy {
  /** The part of a request's aim that its instance may use up by being late, as a divisor. */
  private static final int AIM_DIVISOR = 8;

  /**
   * How often a request waits for its instance's event loop: to be read, to be sent to a server,
   * and for the beginning of its answer.
   */
  private static final int WAITS_FOR_LOOP = 3;

  /**
   * How much less late, as a divisor, an instance has to be that takes a request although it is
   * late itself.
   */
  private static final int DELAY_DIVISOR = 4;

  /** An instance that was not heard of for longer than this may have failed or be cut off. */
  private static final Duration MAX_SILENCE = Duration.ofSeconds(1);

  /** How long ago an instance may have been heard of until it is asked again. */
  private static final Duration ASK_AFTER = Duration.ofMillis(400);

  /** The number of instances that are kept at hand. */
  private static final int WANTED_SIBLINGS = 4;

  /** The maximum number of instances that are asked at a time. */
  private static final int MAX_ASKED = 2;

  /** The maximum number of instances to which one request is offered. */
  private static final int MAX_OFFERS = 2;

  private static final Duration FIRST_BACK_OFF = Duration.ofMillis(500);
  private static final Duration MAX_BACK_OFF = Duration.ofSeconds(4);

  private static final class Sibling {
    private Instant heardAt = Instant.MIN;
    private Instant askedAt = Instant.MIN;
    private Instant avoidedUntil = Instant.MIN;
    private Duration backOff = FIRST_BACK_OFF;
    private int open;

    boolean heardWithin(Duration time, Instant now) {
      return heardAt.isAfter(now.minus(time));
    }

    boolean isAvoided(Instant now) {
      return now.isBefore(avoidedUntil);
    }

    boolean isAtHand(Instant now) {
      return heardWithin(MAX_SILENCE, now) && !isAvoided(now);
    }
  }

  private final RandomGenerator random;
  private final Map<String, Sibling> siblings = new HashMap<>();

  /** Creates a policy that draws from {@code random}. */
  public HandoverPolicy(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Returns whether a request is better served by another instance.
   *
   * @param delay by how much this instance is late
   * @param aim the time within which the request's answer is to begin
   */
  public boolean isHeldUp(Duration delay, Duration aim) {
    return Durations.times(delay, WAITS_FOR_LOOP * AIM_DIVISOR).compareTo(aim) > 0;
  }

  /**
   * Returns whether an instance takes a request of another one.
   *
   * @param ownDelay by how much the instance that is asked is late
   * @param senderDelay by how much the instance that asks is late
   */
  public boolean accepts(Duration ownDelay, Duration senderDelay, Duration aim) {
    return !isHeldUp(ownDelay, aim)
        || Durations.times(ownDelay, DELAY_DIVISOR).compareTo(senderDelay) <= 0;
  }

  /**
   * Chooses the instance that a request is offered to: one that was heard of lately, has not
   * refused lately, and has the fewest requests of this instance.
   *
   * @param tried the instances that have already refused this request
   * @return empty if this instance has to serve the request itself
   */
  public Optional<String> choose(Set<String> tried, Instant now) {
    if (tried.size() >= MAX_OFFERS) {
      return Optional.empty();
    }
    List<String> fewest = new ArrayList<>();
    int open = Integer.MAX_VALUE;
    for (Map.Entry<String, Sibling> each : siblings.entrySet()) {
      Sibling sibling = each.getValue();
      if (sibling.open > open || !sibling.isAtHand(now) || tried.contains(each.getKey())) {
        continue;
      }
      if (sibling.open < open) {
        open = sibling.open;
        fewest.clear();
      }
      fewest.add(each.getKey());
    }
    return fewest.isEmpty()
        ? Optional.empty()
        : Optional.of(fewest.get(random.nextInt(fewest.size())));
  }

  /**
   * Returns the instances to ask now whether they would take requests: those at hand that were not
   * heard of for a while, and others as long as too few are at hand.
   *
   * @param present the addresses of all other instances
   */
  public List<String> instancesToAsk(List<String> present, Instant now) {
    siblings.keySet().retainAll(Set.copyOf(present));
    List<String> asked = new ArrayList<>();
    int atHand = 0;
    for (Map.Entry<String, Sibling> each : siblings.entrySet()) {
      Sibling sibling = each.getValue();
      if (sibling.isAtHand(now)) {
        atHand++;
        if (asked.size() < MAX_ASKED && mayBeAsked(sibling, now)) {
          asked.add(each.getKey());
        }
      }
    }
    for (int i = atHand; i < WANTED_SIBLINGS && asked.size() < MAX_ASKED; i++) {
      drawUnheard(present, asked, now).ifPresent(asked::add);
    }
    asked.forEach(address -> sibling(address).askedAt = now);
    return asked;
  }

  private static boolean mayBeAsked(Sibling sibling, Instant now) {
    return !sibling.heardWithin(ASK_AFTER, now)
        && !sibling.isAvoided(now)
        && !sibling.askedAt.isAfter(now.minus(ASK_AFTER));
  }

  private Optional<String> drawUnheard(List<String> present, List<String> asked, Instant now) {
    if (present.isEmpty()) {
      return Optional.empty();
    }
    String drawn = present.get(random.nextInt(present.size()));
    return Optional.of(drawn)
        .filter(address -> !asked.contains(address))
        .filter(address -> mayBeAsked(sibling(address), now));
  }

  /**
   * Returns how many servers the instance that takes a request may send it to. The others of the
   * route's attempts are left for the case that this instance never learns what became of it.
   *
   * @param maxAttempts the number of servers that the route allows
   */
  public int attemptsHandedOver(boolean repeatable, int maxAttempts) {
    return repeatable && maxAttempts > 2 ? maxAttempts - 1 : maxAttempts;
  }

  /** Records that a request was sent to an instance. */
  public void onSent(String address) {
    sibling(address).open++;
  }

  /** Records that a request that was sent to an instance has ended there, or was refused. */
  public void onEnded(String address) {
    Sibling sibling = sibling(address);
    sibling.open = Math.max(0, sibling.open - 1);
  }

  /** Records that an instance has taken a request, or would take one. */
  public void onWilling(String address, Instant now) {
    Sibling sibling = sibling(address);
    sibling.heardAt = now;
    sibling.avoidedUntil = Instant.MIN;
    sibling.backOff = FIRST_BACK_OFF;
  }

  /** Records that an instance could not be reached, did not answer, or would take no request. */
  public void onUnwilling(String address, Instant now) {
    Sibling sibling = sibling(address);
    sibling.avoidedUntil = now.plus(sibling.backOff);
    Duration doubled = Durations.times(sibling.backOff, 2);
    sibling.backOff = doubled.compareTo(MAX_BACK_OFF) > 0 ? MAX_BACK_OFF : doubled;
  }

  private Sibling sibling(String address) {
    return siblings.computeIfAbsent(address, created -> new Sibling());
  }
}
