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
 * with a later start time. A request that ran beside the crashing one is counted too. That this
 * happens to the same request {@link #LIMIT} times without an answer in between is too unlikely to
 * matter.
 */
public final class RequestQuarantine implements LogParticipant {
  /**
   * The number of crashes from which on a request is not sent any more. Two crashes may be a
   * coincidence when a rack fails.
   */
  static final int LIMIT = 3;

  /** A crashed server refuses connections or is removed from the list within this time. */
  private static final Duration PROOF_WITHIN = Duration.ofSeconds(6);

  /**
   * How long this instance keeps its count of a request. Callers repeat a request within minutes,
   * so the shared log need not keep it for longer.
   */
  private static final Duration FORGET_AFTER = Duration.ofMinutes(3);

  /**
   * How long the count of another instance is kept. An instance cancels its count after {@link
   * #FORGET_AFTER}. A count that is still there later is from an instance that is gone or from
   * another writer, and would block a request forever.
   */
  private static final Duration FORGET_OTHERS_AFTER = FORGET_AFTER.plusMinutes(1);

  /** Limits memory use when many servers crash at once; some thirty requests run at each server. */
  private static final int MOST_TRACKED = 2_000;

  /** A request whose connection to a server broke. */
  private record Suspect(String fingerprint, ServerIncarnation server, Instant at) {}

  /** Another instance's count of a request, and when this value was first received. */
  private record Heard(int crashes, Instant at) {}

  /** This instance's count of a request, and whether it has yet to be written to the shared log. */
  private static final class Count {
    private int crashes;
    private Instant last = Instant.MIN;
    private boolean noteDue;
  }

  private final String instance;
  private final Predicate<ServerIncarnation> listed;
  private final EventSink events;
  private final InstantSource clock;
  private final List<Suspect> suspects = new ArrayList<>();
  private final Map<String, Count> own = new LinkedHashMap<>();
  private final Map<String, Map<String, Heard>> others = new HashMap<>();

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
  public boolean active() {
    return !own.isEmpty() || !others.isEmpty();
  }

  /** Whether the request has crashed too many servers to be sent again. */
  public boolean holds(String fingerprint) {
    return crashes(fingerprint) >= LIMIT;
  }

  /** Records that the connection of a request broke before its answer was complete. */
  public void onBrokenOff(String fingerprint, ServerIncarnation server) {
    if (suspects.size() < MOST_TRACKED) {
      suspects.add(new Suspect(fingerprint, server, clock.instant()));
    }
  }

  /** Records that a server can't be connected to: connections that broke there count as crashes. */
  public void onUnreachable(ServerIncarnation server) {
    confirm(suspect -> suspect.server().equals(server));
  }

  /** Resets this instance's count of a request that a server has answered. */
  public void onAnswered(String fingerprint) {
    Count count = own.get(fingerprint);
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
    if (suspects.isEmpty() && !active()) {
      return;
    }
    confirm(suspect -> !listed.test(suspect.server()));
    Instant now = clock.instant();
    forgetOthers(now);
    suspects.removeIf(suspect -> suspect.at().plus(PROOF_WITHIN).isBefore(now));
    for (Count count : own.values()) {
      if (count.crashes > 0 && count.last.plus(FORGET_AFTER).isBefore(now)) {
        count.crashes = 0;
        count.noteDue = true;
      }
    }
  }

  private void forgetOthers(Instant now) {
    for (Map<String, Heard> byInstance : others.values()) {
      byInstance.values().removeIf(each -> each.at().plus(FORGET_OTHERS_AFTER).isBefore(now));
    }
    others.values().removeIf(Map::isEmpty);
  }

  @Override
  public void onNote(SharedNote note, boolean ownNote) {
    if (note instanceof SharedNote.Crash crash && !ownNote) {
      hear(crash, others);
    }
  }

  @Override
  public void onLoaded(List<SharedNote> notes, boolean first) {
    Map<String, Map<String, Heard>> known = new HashMap<>(others);
    others.clear();
    for (SharedNote note : notes) {
      if (!(note instanceof SharedNote.Crash crash)) {
        continue;
      }
      if (!crash.instance().equals(instance)) {
        hear(crash, known);
      } else if (first) {
        goOn(crash);
      }
    }
  }

  @Override
  public boolean waitsForOthers() {
    return false;
  }

  @Override
  public List<SharedNote> notesToWrite(Instant now) {
    List<SharedNote> notes = new ArrayList<>();
    Iterator<Map.Entry<String, Count>> counts = own.entrySet().iterator();
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
  private void goOn(SharedNote.Crash crash) {
    Count count = own.computeIfAbsent(crash.fingerprint(), fingerprint -> new Count());
    count.crashes += crash.count();
    count.last = clock.instant();
  }

  /**
   * Applies the count of another instance.
   *
   * @param before the counts known before; a count with an unchanged value keeps its age
   */
  private void hear(SharedNote.Crash crash, Map<String, Map<String, Heard>> before) {
    if (crash.count() == 0) {
      Map<String, Heard> byInstance = others.get(crash.fingerprint());
      if (byInstance != null) {
        byInstance.remove(crash.instance());
        others.remove(crash.fingerprint(), Map.of());
      }
      return;
    }
    Heard known = before.getOrDefault(crash.fingerprint(), Map.of()).get(crash.instance());
    Heard current =
        known != null && known.crashes() == crash.count()
            ? known
            : new Heard(crash.count(), clock.instant());
    others
        .computeIfAbsent(crash.fingerprint(), fingerprint -> new HashMap<>())
        .put(crash.instance(), current);
  }

  private void confirm(Predicate<Suspect> crashed) {
    Iterator<Suspect> each = suspects.iterator();
    while (each.hasNext()) {
      Suspect suspect = each.next();
      if (crashed.test(suspect)) {
        each.remove();
        count(suspect);
      }
    }
  }

  private void count(Suspect suspect) {
    Count known = own.get(suspect.fingerprint());
    if (known == null && own.size() >= MOST_TRACKED) {
      return;
    }
    Count count = own.computeIfAbsent(suspect.fingerprint(), fingerprint -> new Count());
    count.crashes++;
    count.last = clock.instant();
    count.noteDue = true;
    if (crashes(suspect.fingerprint()) == LIMIT) {
      events.accept(
          new GatewayEvent.RequestQuarantined(suspect.fingerprint(), suspect.server().id().name()));
    }
  }

  private int crashes(String fingerprint) {
    Count count = own.get(fingerprint);
    int sum = count == null ? 0 : count.crashes;
    for (Heard each : others.getOrDefault(fingerprint, Map.of()).values()) {
      sum += each.crashes();
    }
    return sum;
  }
}
