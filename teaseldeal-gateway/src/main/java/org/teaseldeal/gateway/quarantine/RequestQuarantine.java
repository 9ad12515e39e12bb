package org.teaseldeal.gateway.quarantine;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.teaseldeal.gateway.event.EventSink;
import org.teaseldeal.gateway.event.GatewayEvent;
import org.teaseldeal.gateway.log.LogParticipant;
import org.teaseldeal.gateway.log.SharedNote;
import org.teaseldeal.gateway.server.ServerIncarnation;

/**
 * Quarantines requests that crash each backend server that runs them.
 *
 * <p>If a request crashes a server and its caller or an instance sends it again, it crashes the
 * next server too. The servers of the service would be down one after the other, and all other
 * requests that run there would fail. Each instance sees only some of the attempts, so the
 * instances share their counts through the shared log and add them up.
 *
 * <p>A broken connection alone doesn't prove a crash, as an answer may have been lost in the
 * network. It counts only once the server refuses connections, is gone from the list, or is listed
 * with a later start time. A request that ran on the server at the same time as the crashing one is
 * counted too. It is too unlikely to matter that this happens to the same request {@link
 * #CRASH_LIMIT} times without an answer in between.
 */
public final class RequestQuarantine implements LogParticipant {
  /**
   * The number of crashes from which on a request is not sent any more. Two crashes may be a
   * coincidence when a rack fails.
   */
  static final int CRASH_LIMIT = 3;

  /**
   * How long this instance keeps its count of a request. Callers repeat a request within minutes,
   * so the shared log need not keep it for longer.
   */
  private static final Duration RETENTION = Duration.ofMinutes(3);

  /**
   * How long the count of another instance is kept. An instance cancels its count after {@link
   * #RETENTION}. A count that is still there later is from an instance that is gone or from another
   * writer, and would block a request forever.
   */
  private static final Duration PEER_RETENTION = RETENTION.plusMinutes(1);

  /** Limits memory use when many servers crash at once; some thirty requests run at each server. */
  private static final int MAX_TRACKED = 2_000;

  /** Another instance's count of a request, and when this value was first received. */
  private record PeerCount(int crashes, Instant receivedAt) {}

  /** This instance's count of a request, and whether it has yet to be written to the shared log. */
  private static final class Count {
    private int crashes;
    private Instant lastCrashAt = Instant.MIN;
    private boolean noteDue;
  }

  private final String instance;
  private final Predicate<ServerIncarnation> listed;
  private final EventSink events;
  private final InstantSource clock;
  private final PendingCrashes<String> suspects = new PendingCrashes<>();
  private final Map<String, Count> ownCounts = new LinkedHashMap<>();
  private final Map<String, Map<String, PeerCount>> peerCounts = new HashMap<>();

  /**
   * Creates the quarantine of {@code instance}.
   *
   * @param listed whether an incarnation of a server is listed
   */
  public RequestQuarantine(
      String instance, Predicate<ServerIncarnation> listed, EventSink events, InstantSource clock) {
    this.instance = instance;
    this.listed = listed;
    this.events = events;
    this.clock = clock;
  }

  /** Whether there is any count. If not, no request's fingerprint needs to be computed. */
  public boolean hasCounts() {
    return !ownCounts.isEmpty() || !peerCounts.isEmpty();
  }

  /** Whether the request has crashed too many servers to be sent again. */
  public boolean isQuarantined(String fingerprint) {
    return crashes(fingerprint) >= CRASH_LIMIT;
  }

  /** Records that the connection of a request broke before its answer was complete. */
  public void onConnectionLost(String fingerprint, ServerIncarnation server) {
    suspects.add(fingerprint, server, clock.instant());
  }

  /** Records that a server can't be connected to: connections that broke there count as crashes. */
  public void onUnreachable(ServerIncarnation server) {
    confirmCrashes(CrashProof.UNREACHABLE, server::equals);
  }

  /** Resets this instance's count of a request that a server has answered. */
  public void onAnswered(String fingerprint) {
    Count count = ownCounts.get(fingerprint);
    if (count != null && count.crashes > 0) {
      count.crashes = 0;
      count.noteDue = true;
    }
  }

  /**
   * Counts crashes of servers that are gone from the list or were replaced, and drops counts and
   * suspected requests that have expired.
   */
  public void tick() {
    if (suspects.isEmpty() && !hasCounts()) {
      return;
    }
    confirmCrashes(CrashProof.NOT_LISTED, listed.negate());
    Instant now = clock.instant();
    expirePeerCounts(now);
    suspects.expire(now);
    for (Count count : ownCounts.values()) {
      if (count.crashes > 0 && count.lastCrashAt.plus(RETENTION).isBefore(now)) {
        count.crashes = 0;
        count.noteDue = true;
      }
    }
  }

  private void expirePeerCounts(Instant now) {
    for (Map<String, PeerCount> byInstance : peerCounts.values()) {
      byInstance.values().removeIf(each -> each.receivedAt().plus(PEER_RETENTION).isBefore(now));
    }
    peerCounts.values().removeIf(Map::isEmpty);
  }

  @Override
  public void onNote(SharedNote note, boolean ownNote) {
    if (note instanceof SharedNote.Crash crash && !ownNote) {
      applyPeerCount(crash, peerCounts);
    }
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    Map<String, Map<String, PeerCount>> known = new HashMap<>(peerCounts);
    peerCounts.clear();
    for (SharedNote note : notes) {
      if (!(note instanceof SharedNote.Crash crash)) {
        continue;
      }
      if (!crash.instance().equals(instance)) {
        applyPeerCount(crash, known);
      } else if (first) {
        adoptCount(crash);
      }
    }
  }

  @Override
  public boolean awaitsPeerNotes() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    List<SharedNote> notes = new ArrayList<>();
    Iterator<Map.Entry<String, Count>> counts = ownCounts.entrySet().iterator();
    while (counts.hasNext()) {
      Map.Entry<String, Count> each = counts.next();
      Count count = each.getValue();
      if (count.noteDue) {
        count.noteDue = false;
        notes.add(new SharedNote.Crash(instance, each.getKey(), count.crashes));
      }
      if (count.crashes == 0) {
        counts.remove();
      }
    }
    return notes;
  }

  /** Adopts the count of an earlier process of this instance. */
  private void adoptCount(SharedNote.Crash crash) {
    Count count = ownCounts.computeIfAbsent(crash.fingerprint(), fingerprint -> new Count());
    count.crashes += crash.count();
    count.lastCrashAt = clock.instant();
  }

  /**
   * Applies the count of another instance.
   *
   * @param before the counts known before; a count with an unchanged value keeps its age
   */
  private void applyPeerCount(SharedNote.Crash crash, Map<String, Map<String, PeerCount>> before) {
    if (crash.count() == 0) {
      Map<String, PeerCount> byInstance = peerCounts.get(crash.fingerprint());
      if (byInstance != null) {
        byInstance.remove(crash.instance());
        peerCounts.remove(crash.fingerprint(), Map.of());
      }
      return;
    }
    PeerCount known = before.getOrDefault(crash.fingerprint(), Map.of()).get(crash.instance());
    PeerCount current =
        known != null && known.crashes() == crash.count()
            ? known
            : new PeerCount(crash.count(), clock.instant());
    peerCounts
        .computeIfAbsent(crash.fingerprint(), fingerprint -> new HashMap<>())
        .put(crash.instance(), current);
  }

  private void confirmCrashes(CrashProof proof, Predicate<ServerIncarnation> crashed) {
    suspects.takeCrashed(crashed).forEach(suspect -> count(suspect, proof));
  }

  private void count(PendingCrashes.Lost<String> suspect, CrashProof proof) {
    Count known = ownCounts.get(suspect.subject());
    if (known == null && ownCounts.size() >= MAX_TRACKED) {
      return;
    }
    Count count = ownCounts.computeIfAbsent(suspect.subject(), fingerprint -> new Count());
    count.crashes++;
    count.lastCrashAt = clock.instant();
    count.noteDue = true;
    int crashes = crashes(suspect.subject());
    events.accept(
        new GatewayEvent.CrashCounted(
            suspect.subject(),
            suspect.server().id().name(),
            proof.name(),
            crashes,
            Duration.between(suspect.at(), count.lastCrashAt)));
    if (crashes == CRASH_LIMIT) {
      events.accept(
          new GatewayEvent.RequestQuarantined(suspect.subject(), suspect.server().id().name()));
    }
  }

  private int crashes(String fingerprint) {
    Count count = ownCounts.get(fingerprint);
    int sum = count == null ? 0 : count.crashes;
    for (PeerCount each : peerCounts.getOrDefault(fingerprint, Map.of()).values()) {
      sum += each.crashes();
    }
    return sum;
  }
}
