package org.teaseldeal.gateway.path;

import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.teaseldeal.api.BackendServerId;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.RateAnnouncement;
import org.teaseldeal.gateway.server.ServerIncarnation;

/** The limits that backend servers name in their answers to this instance. */
public final class AnnouncedLimits {
  /** The value of {@link #requestsPerSecond} for a server without a limit. */
  public static final double NO_LIMIT = -1;

  /** A limit, and when an answer named it last. */
  private record Limit(double requestsPerSecond, Instant namedAt) {}

  private final String instance;
  private final EventSink events;
  private final InstantSource clock;
  private final Map<ServerIncarnation, Limit> limits = new HashMap<>();
  private final Set<ServerIncarnation> reportedUnreadable = new HashSet<>();

  public AnnouncedLimits(String instance, EventSink events, InstantSource clock) {
    this.instance = instance;
    this.events = events;
    this.clock = clock;
  }

  /** Returns whether no server names a limit. */
  public boolean isEmpty() {
    return limits.isEmpty();
  }

  /** Returns whether a server names a limit. */
  public boolean isLimited(BackendServer server) {
    return limits.containsKey(server.incarnation());
  }

  /** Returns the number of servers that name a limit. */
  public int count() {
    return limits.size();
  }

  /** Returns the requests in a second that a server takes; negative if it names no limit. */
  public double requestsPerSecond(BackendServer server) {
    Limit limit = limits.get(server.incarnation());
    return limit == null ? NO_LIMIT : limit.requestsPerSecond();
  }

  /**
   * Records what an answer says.
   *
   * @param sentAt when the request was sent; an answer without a limit ends a limit only if it was
   *     sent after the limit was named, as answers may overtake each other
   */
  public void onAnswer(BackendServer server, RateAnnouncement announcement, Instant sentAt) {
    switch (announcement) {
      case RateAnnouncement.Limited limited -> onNamed(server, limited.requestsPerSecond());
      case RateAnnouncement.Absent absent -> onNotNamed(server, sentAt);
      case RateAnnouncement.Unreadable unreadable -> {
        if (reportedUnreadable.add(server.incarnation())) {
          events.accept(
              new GatewayEvent.ServerRateLimitUnreadable(server.id().name(), unreadable.value()));
        }
      }
    }
  }

  private void onNamed(BackendServer server, double requestsPerSecond) {
    Limit earlier = limits.put(server.incarnation(), new Limit(requestsPerSecond, clock.instant()));
    if (earlier == null) {
      report(server, "named", requestsPerSecond);
    } else if (earlier.requestsPerSecond() != requestsPerSecond) {
      report(server, "changed", requestsPerSecond);
    }
  }

  private void onNotNamed(BackendServer server, Instant sentAt) {
    Limit limit = limits.get(server.incarnation());
    if (limit != null && sentAt.isAfter(limit.namedAt())) {
      limits.remove(server.incarnation());
      report(server, "ended", limit.requestsPerSecond());
    }
  }

  private void report(BackendServer server, String state, double requestsPerSecond) {
    events.accept(
        new GatewayEvent.ServerRateLimit(
            server.id().name(),
            server.service(),
            server.incarnation().startedAt().map(Instant::toString).orElse(""),
            state,
            requestsPerSecond,
            instance));
  }

  /** Forgets the servers that are no longer listed. */
  void retain(Set<BackendServerId> listed) {
    limits.keySet().removeIf(incarnation -> !listed.contains(incarnation.id()));
    reportedUnreadable.removeIf(incarnation -> !listed.contains(incarnation.id()));
  }
}
