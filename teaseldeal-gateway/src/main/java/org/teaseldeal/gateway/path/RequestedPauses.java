package org.teaseldeal.gateway.path;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.decisions.RequestedPause;
import org.teaseldeal.gateway.server.BackendServer;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * The pauses that backend servers asked this instance for as they rejected its requests. A pause
 * binds this instance only, and ends with the process of the server that asked for it.
 */
public final class RequestedPauses {
  private final InstantSource clock;
  private final Map<ServerIncarnation, RequestedPause> pauses = new HashMap<>();

  /** Creates pauses of an instance that was asked for none. */
  public RequestedPauses(InstantSource clock) {
    this.clock = clock;
  }

  /** Records that a server rejected a request and asked for a pause. */
  void onRequested(BackendServer server, Duration pause) {
    Instant until = clock.instant().plus(pause);
    pauses
        .computeIfAbsent(server.incarnation(), incarnation -> new RequestedPause(until))
        .extendTo(until);
  }

  /** Records that a server took a request that was sent at {@code sentAt}. */
  void onTaken(BackendServer server, Instant sentAt) {
    RequestedPause pause = find(server);
    if (pause != null && pause.endsWithAnswerTo(sentAt)) {
      pauses.remove(server.incarnation());
    }
  }

  /** Returns whether no server is in its pause or has to show that it takes requests again. */
  public boolean isEmpty() {
    return pauses.isEmpty();
  }

  /** Returns whether a server is in its pause. */
  public boolean isPaused(BackendServer server, Instant now) {
    RequestedPause pause = find(server);
    return pause != null && pause.isInForce(now);
  }

  /** Returns whether a request may be sent to a server. */
  public boolean hasRoom(BackendServer server, Instant now) {
    RequestedPause pause = find(server);
    return pause == null || pause.hasRoom(now);
  }

  /** Returns when a request may be sent to a server; {@code now} if it asked for no pause. */
  public Instant roomAt(BackendServer server, Instant now) {
    RequestedPause pause = find(server);
    return pause == null || pause.hasRoom(now) ? now : pause.roomAt();
  }

  /** Returns the number of servers that are in their pause. */
  public int count() {
    Instant now = clock.instant();
    return (int) pauses.values().stream().filter(pause -> pause.isInForce(now)).count();
  }

  /** Counts a request that is about to be sent. */
  SentRequest onSent(BackendServer server) {
    RequestedPause pause = find(server);
    if (pause == null) {
      return SentRequest.UNCOUNTED;
    }
    pause.onSent(clock.instant());
    return new Trial(pause);
  }

  /** Forgets the servers that are no longer listed and whose pause is over. */
  void retain(Set<ServerIncarnation> listed) {
    Instant now = clock.instant();
    pauses
        .entrySet()
        .removeIf(each -> !listed.contains(each.getKey()) && !each.getValue().isInForce(now));
  }

  private @Nullable RequestedPause find(BackendServer server) {
    return pauses.isEmpty() ? null : pauses.get(server.incarnation());
  }

  /** A request after a pause. */
  private record Trial(RequestedPause pause) implements SentRequest {
    @Override
    public void onArrived() {
      pause.onTrialEnded();
    }

    @Override
    public void onNotSent() {
      pause.onTrialEnded();
    }
  }
}
