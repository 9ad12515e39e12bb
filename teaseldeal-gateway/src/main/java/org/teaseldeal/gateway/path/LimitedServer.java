package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.RateLimiter;
import org.teaseldeal.decisions.SharedRate;

/** A server process that names a limit, and this instance's share of it. */
final class LimitedServer {
  /**
   * A server that takes no request at all still gets one in this time, as only its answers tell
   * that the limit has ended.
   */
  private static final double MIN_REQUESTS_PER_SECOND = 0.1;

  /** How long after its end a limit is raised step by step; the server was in need until then. */
  private static final Duration RAMP_UP = Duration.ofSeconds(3);

  /** The limit that an instance may have unanswered, in seconds of its share. */
  private static final double UNANSWERED_SECONDS = 1.5;

  private static final int MIN_UNANSWERED = 2;

  /**
   * How the rate is divided, valid while the instances and the rate stay the same.
   *
   * @param ownRate the requests in a second that this instance may send
   * @param otherHolders the other instances that have a share that counts
   * @param holderInterval the time between two requests of one of them
   */
  private record Division(
      Set<String> instances,
      double rate,
      double ownRate,
      List<String> otherHolders,
      Duration holderInterval) {}

  private final BackendServerId id;
  private final String instance;
  private final Supplier<Set<String>> instances;
  private final RandomGenerator random;
  private final Map<String, Instant> roomAtHolders = new HashMap<>();
  private AnnouncedLimit limit;
  private Instant learnedAt;
  private Instant heardAt;
  private @Nullable RateLimiter share;
  private @Nullable Division division;
  private int unanswered;

  /**
   * Creates the state of a server process of which this instance has just heard.
   *
   * @param instances supplies the names of all instances, as a different object after each change
   */
  LimitedServer(
      BackendServerId id,
      String instance,
      Supplier<Set<String>> instances,
      AnnouncedLimit limit,
      Instant now,
      RandomGenerator random) {
    this.id = id;
    this.instance = instance;
    this.instances = instances;
    this.limit = limit;
    this.learnedAt = now;
    this.heardAt = now;
    this.random = random;
  }

  AnnouncedLimit limit() {
    return limit;
  }

  /** Replaces what is known of the limit, which an answer or another instance has just said. */
  void setLimit(AnnouncedLimit newLimit, Instant now) {
    if (newLimit.ended() != limit.ended()) {
      learnedAt = now;
    }
    limit = newLimit;
    heardAt = now;
  }

  /** When an answer or another instance said last that the limit holds, or has ended. */
  Instant heardAt() {
    return heardAt;
  }

  /** Returns whether requests are limited, which they are for a while after the limit's end. */
  boolean isInForce(Instant now) {
    return !limit.ended() || now.isBefore(learnedAt.plus(RAMP_UP));
  }

  /** Returns the requests in a second that all instances together may send. */
  double rate(Instant now) {
    double named = Math.max(MIN_REQUESTS_PER_SECOND, limit.requestsPerSecond());
    return limit.ended() ? named * (2L << Duration.between(learnedAt, now).toSeconds()) : named;
  }

  /** Returns whether this instance may send a request. */
  boolean hasRoom(Instant now) {
    RateLimiter own = share(now);
    return own.hasPermit(now) && unanswered < maxUnanswered(now);
  }

  /** Returns when this instance may send a request. */
  Instant roomAt(Instant now) {
    RateLimiter own = share(now);
    boolean awaitsAnswer = unanswered >= maxUnanswered(now);
    return awaitsAnswer && own.hasPermit(now) ? now.plus(own.interval()) : own.nextAt();
  }

  private int maxUnanswered(Instant now) {
    return Math.max(MIN_UNANSWERED, (int) (division(now).ownRate() * UNANSWERED_SECONDS));
  }

  /** Counts a request that is sent now. */
  void onSent(Instant now) {
    share(now).take(now);
    unanswered++;
  }

  void onAnswered() {
    unanswered--;
  }

  void onNotSent() {
    unanswered--;
    RateLimiter own = share;
    if (own != null) {
      own.giveBack();
    }
  }

  /** Returns the names of the other holders that may have room. */
  List<String> holdersWithRoom(Instant now) {
    return division(now).otherHolders().stream()
        .filter(holder -> !now.isBefore(roomAt(holder)))
        .toList();
  }

  /** Returns when another holder may have room; {@link Instant#MAX} if there is none. */
  Instant roomAtOthers(Instant now) {
    return division(now).otherHolders().stream()
        .map(this::roomAt)
        .min(Instant::compareTo)
        .orElse(Instant.MAX);
  }

  private Instant roomAt(String holder) {
    return roomAtHolders.getOrDefault(holder, Instant.MIN);
  }

  /** Records that a request is offered to a holder, which will have used its share then. */
  void onOffered(String holder, Instant now) {
    Division known = division;
    if (known != null) {
      roomAtHolders.put(holder, now.plus(known.holderInterval()));
    }
  }

  /** Records that a holder has no room until {@code until}. */
  void onNoRoom(String holder, Instant until) {
    roomAtHolders.put(holder, until);
  }

  /** Records that no holder can be asked before {@code until}. */
  void onNoHolder(Instant until) {
    Division known = division;
    if (known != null) {
      known
          .otherHolders()
          .forEach(holder -> roomAtHolders.merge(holder, until, LimitedServer::later));
    }
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  private RateLimiter share(Instant now) {
    double ownRate = division(now).ownRate();
    RateLimiter own = share;
    if (own == null) {
      // The server may just have got a request, and not all instances are to send their first at
      // the same time.
      own = new RateLimiter(ownRate, random.nextDouble(), learnedAt);
      share = own;
    }
    own.setRate(ownRate, now);
    return own;
  }

  private Division division(Instant now) {
    Set<String> names = instances.get();
    double rate = rate(now);
    Division known = division;
    if (known != null && known.instances() == names && known.rate() == rate) {
      return known;
    }
    List<String> holders = SharedRate.holders(id, names, rate);
    double holderRate = SharedRate.of(id, holders.getFirst(), names, rate);
    Division next =
        new Division(
            names,
            rate,
            SharedRate.of(id, instance, names, rate),
            holders.stream().filter(holder -> !holder.equals(instance)).toList(),
            Duration.ofNanos((long) (1e9 / holderRate)));
    division = next;
    return next;
  }
}
