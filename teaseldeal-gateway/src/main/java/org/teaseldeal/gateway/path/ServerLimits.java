package org.teaseldeal.gateway.path;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * What this instance may send to a server now, if the server takes only so many requests of all
 * instances together: because it warms up, or because it says so in its answers.
 *
 * @param warmUp limits of servers that warm up
 * @param announced limits that servers name
 */
public record ServerLimits(WarmUpLimits warmUp, AnnouncedLimits announced, InstantSource clock) {
  /** Creates limits of an instance that knows no other one, for servers that don't warm up. */
  public static ServerLimits alone(
      String instance, EventSink events, InstantSource clock, RandomGenerator random) {
    return new ServerLimits(
        WarmUpLimits.none(clock), AnnouncedLimits.alone(instance, events, clock, random), clock);
  }

  /** Returns whether a server takes only so many requests. */
  public boolean isLimited(BackendServer server) {
    return announced.isLimited(server) || warmUp.isLimited(server);
  }

  /** Returns whether this instance may send a request to a server now. */
  public boolean hasRoom(BackendServer server) {
    return hasRoom(server, clock.instant());
  }

  /** Returns whether this instance may send a request to a server at {@code now}. */
  public boolean hasRoom(BackendServer server, Instant now) {
    return announced.hasRoom(server, now) && warmUp.hasRoom(server, now);
  }

  /** Returns whether another instance may have room for a request. */
  public boolean hasOtherHolders(BackendServer server) {
    return announced.isLimited(server)
        ? !otherHolders(server).isEmpty()
        : warmUp.hasOtherHolders(server);
  }

  /** Returns the addresses of the other instances that may have room for a request. */
  public List<String> otherHolders(BackendServer server) {
    if (!announced.isLimited(server)) {
      return warmUp.otherHolders(server);
    }
    List<String> holders = announced.otherHolders(server);
    return warmUp.isLimited(server)
        ? holders.stream().filter(Set.copyOf(warmUp.otherHolders(server))::contains).toList()
        : holders;
  }

  /** Counts a request that is about to be sent. */
  SentRequest onSent(BackendServer server) {
    SentRequest ofWarmUp = warmUp.onSent(server);
    SentRequest ofAnnounced = announced.onSent(server);
    return new SentRequest() {
      @Override
      public void onArrived() {
        ofWarmUp.onArrived();
        ofAnnounced.onArrived();
      }

      @Override
      public void onNotSent() {
        ofWarmUp.onNotSent();
        ofAnnounced.onNotSent();
      }
    };
  }

  /** Forgets the servers that are no longer listed. */
  void retain(Set<ServerIncarnation> listed) {
    warmUp.retain(
        listed.stream().map(ServerIncarnation::id).collect(Collectors.toUnmodifiableSet()));
    announced.retain(listed);
  }
}
