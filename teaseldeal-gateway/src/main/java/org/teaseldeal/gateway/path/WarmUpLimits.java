package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.decisions.WarmUpShares;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Limits the requests that this instance sends to servers that are warming up to its share of what
 * they tolerate in a second.
 *
 * <p>A request counts from its sending until a second after its answer has begun, as it may arrive
 * at any time in between: requests that a partition holds up reach the server together when it
 * ends.
 */
public final class WarmUpLimits {
  /** The limits hold for the requests that arrive within any span of this length. */
  private static final Duration WINDOW = Duration.ofMillis(1050);

  /**
   * How long after its start an instance sends nothing to servers that warm up. The process before
   * it may have used its share.
   */
  private static final Duration RESTART_HOLD = Duration.ofMillis(1200);

  private final class Counted implements SentRequest {
    private @Nullable Instant countsUntil;

    @Override
    public void onArrived() {
      if (countsUntil == null) {
        countsUntil = clock.instant().plus(WINDOW);
      }
    }

    @Override
    public void onNotSent() {
      countsUntil = Instant.MIN;
    }

    private boolean counts(Instant now) {
      return countsUntil == null || now.isBefore(countsUntil);
    }
  }

  /**
   * How a server is divided, valid while the instances and the limit stay the same.
   *
   * @param share the share of this instance
   * @param otherHolders the other instances that have a share
   */
  private record Division(Set<String> instances, int limit, int share, List<String> otherHolders) {}

  private final String instance;
  private final Supplier<Set<String>> instances;
  private final Function<String, Optional<String>> addressOf;
  private final ToIntFunction<String> limitOfService;
  private final InstantSource clock;
  private final Instant holdUntil;
  private final Map<ServerIncarnation, Deque<Counted>> sent = new HashMap<>();
  private final Map<BackendServerId, Division> divisions = new HashMap<>();

  /**
   * Creates the limits of an instance.
   *
   * @param instances supplies the names of all instances, as a different object after each change
   * @param addressOf the address of an instance for other instances; empty if it is unknown
   * @param limitOfService the number of requests that a server of a service tolerates in a second
   *     while it warms up; 0 if it needs no limit
   */
  public WarmUpLimits(
      String instance,
      Supplier<Set<String>> instances,
      Function<String, Optional<String>> addressOf,
      ToIntFunction<String> limitOfService,
      InstantSource clock) {
    this.instance = instance;
    this.instances = instances;
    this.addressOf = addressOf;
    this.limitOfService = limitOfService;
    this.clock = clock;
    this.holdUntil = clock.instant().plus(RESTART_HOLD);
  }

  /** Creates limits for a fleet whose servers need none. */
  public static WarmUpLimits none(InstantSource clock) {
    return new WarmUpLimits("", Set::of, name -> Optional.empty(), service -> 0, clock);
  }

  /** Returns whether a server warms up and tolerates only so many requests. */
  public boolean isLimited(BackendServer server) {
    return isLimited(server, clock.instant());
  }

  private boolean isLimited(BackendServer server, Instant now) {
    return server.isWarmingUp(now) && limitOfService.applyAsInt(server.service()) > 0;
  }

  /** Returns whether this instance may send a request to a server now. */
  public boolean hasRoom(BackendServer server) {
    return hasRoom(server, clock.instant());
  }

  /** Returns whether this instance may send a request to a server at {@code now}. */
  public boolean hasRoom(BackendServer server, Instant now) {
    return !isLimited(server, now) || hasShareLeft(server, now);
  }

  private boolean hasShareLeft(BackendServer server, Instant now) {
    return !now.isBefore(holdUntil) && sentInWindow(server, now) < division(server).share();
  }

  /** Returns whether another instance has a share of a server. */
  public boolean hasOtherHolders(BackendServer server) {
    return !division(server).otherHolders().isEmpty();
  }

  /** Returns the addresses of the other instances that have a share of a server. */
  public List<String> otherHolders(BackendServer server) {
    return division(server).otherHolders().stream()
        .flatMap(holder -> addressOf.apply(holder).stream())
        .toList();
  }

  /**
   * Counts a request that is about to be sent. Requests to servers that are warm count too, as the
   * server may be found to warm up within a second.
   */
  SentRequest onSent(BackendServer server) {
    Counted request = new Counted();
    if (limitOfService.applyAsInt(server.service()) > 0) {
      Deque<Counted> requests =
          sent.computeIfAbsent(server.incarnation(), key -> new ArrayDeque<>());
      dropUncounted(requests, clock.instant());
      requests.add(request);
    }
    return request;
  }

  /** Forgets the servers that are no longer listed. */
  void retain(Set<BackendServerId> listed) {
    sent.keySet().removeIf(incarnation -> !listed.contains(incarnation.id()));
    divisions.keySet().retainAll(listed);
  }

  private int sentInWindow(BackendServer server, Instant now) {
    Deque<Counted> requests = sent.get(server.incarnation());
    if (requests == null) {
      return 0;
    }
    dropUncounted(requests, now);
    return requests.size();
  }

  private static void dropUncounted(Deque<Counted> requests, Instant now) {
    requests.removeIf(request -> !request.counts(now));
  }

  private Division division(BackendServer server) {
    Set<String> names = instances.get();
    int limit = limitOfService.applyAsInt(server.service());
    Division cached = divisions.get(server.id());
    if (cached != null && cached.instances() == names && cached.limit() == limit) {
      return cached;
    }
    List<String> otherHolders =
        WarmUpShares.holders(server.id(), names, limit).stream()
            .filter(holder -> !holder.equals(instance))
            .toList();
    int share = WarmUpShares.share(server.id(), instance, names, limit);
    Division division = new Division(names, limit, share, otherHolders);
    divisions.put(server.id(), division);
    return division;
  }
}
