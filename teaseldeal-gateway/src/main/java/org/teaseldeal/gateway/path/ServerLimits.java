package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.teaseldeal.api.Durations;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * What this instance may send to a server now, if the server takes only so many requests of all
 * instances together, because it warms up or says so in its answers, or if it asked this instance
 * for a pause.
 *
 * @param warmUp limits of servers that warm up
 * @param announced limits that servers name
 * @param pauses pauses that servers asked this instance for
 */
public record ServerLimits(
    WarmUpLimits warmUp, AnnouncedLimits announced, RequestedPauses pauses, InstantSource clock) {
  /** Creates limits of an instance that knows no other one, for servers that don't warm up. */
  public static ServerLimits alone(
      String instance, EventSink events, InstantSource clock, RandomGenerator random) {
    return new ServerLimits(
        WarmUpLimits.none(clock),
        AnnouncedLimits.alone(instance, events, clock, random),
        new RequestedPauses(clock),
        clock);
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
    return pauses.hasRoom(server, now)
        && announced.hasRoom(server, now)
        && warmUp.hasRoom(server, now);
  }

  /** Returns how long this instance has no room for a request to a server, as far as is known. */
  Duration noRoomFor(BackendServer server) {
    Instant now = clock.instant();
    return Durations.longer(
        announced.noRoomFor(server), Duration.between(now, pauses.roomAt(server, now)));
  }

  /**
   * Returns whether another instance may have room for a request. Requests to a server that asked
   * this instance for a pause don't go by others.
   */
  public boolean hasOtherHolders(BackendServer server) {
    if (!pauses.hasRoom(server, clock.instant())) {
      return false;
    }
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
    SentRequest ofPauses = pauses.onSent(server);
    return new SentRequest() {
      @Override
      public void onArrived() {
        ofWarmUp.onArrived();
        ofAnnounced.onArrived();
        ofPauses.onArrived();
      }

      @Override
      public void onNotSent() {
        ofWarmUp.onNotSent();
        ofAnnounced.onNotSent();
        ofPauses.onNotSent();
      }
    };
  }

  /** Forgets the servers that are no longer listed. */
  void retain(Set<ServerIncarnation> listed) {
    warmUp.retain(
        listed.stream().map(ServerIncarnation::id).collect(Collectors.toUnmodifiableSet()));
    announced.retain(listed);
    pauses.retain(listed);
  }
}
