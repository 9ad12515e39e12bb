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
 * Stops requests that crash each backend server that begins to run them.
 *
 * <p>Failure: one request ends a server; its caller, or an instance, sends it again, and it ends
 * the next. Symptom: servers of one service are down in turn, and everybody's requests that ran
 * there fail with it. Each instance sees only some of the tries, so each tells the others on the
 * shared log what it has seen, and all count together.
 *
 * <p>A broken connection alone proves no crash: an answer may have been lost on its way. It counts
 * only once the server can't be connected to, is gone from the list, or is listed with a later
 * start. A request that happened to run beside the culprit is counted too; that it happens to
 * {@link #LIMIT} servers in a row without one answer between is too rare to matter.
 */
public final class RequestQuarantine implements LogParticipant {
  /** Crashes after which a request isn't sent any more; two may be chance when a rack fails. */
  static final int LIMIT = 3;

  /** A crashed server refuses connections, or is taken off the list, within this time. */
  private static final Duration PROOF_WITHIN = Duration.ofSeconds(6);

  /** Callers who send a request again do so within minutes; the log needn't hold it for longer. */
  private static final Duration FORGET_AFTER = Duration.ofMinutes(3);

  /**
   * An instance takes its count back after {@link #FORGET_AFTER}; what is there for longer is
   * nobody's, or another writer's, and would stop a request for good.
   */
  private static final Duration FORGET_OTHERS_AFTER = FORGET_AFTER.plusMinutes(1);

  /** Bounds memory when many servers crash at once: thirty requests run at each. */
  private static final int MOST_TRACKED = 2_000;

  /** A request whose connection broke off at a server. */
  private record Suspect(String fingerprint, ServerIncarnation server, Instant at) {}

  /** What another instance has counted of a request, and since when this count is known here. */
  private record Heard(int crashes, Instant at) {}

  /** What this instance has counted of a request; due until the log has it. */
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
   * Creates the quarantine of {@code instance}; {@code listed} tells whether that incarnation of a
   * server is listed.
   */
  public RequestQuarantine(
      String instance, Predicate<ServerIncarnation> listed, EventSink events, InstantSource clock) {
    this.instance = instance;
    this.listed = listed;
    this.events = events;
    this.clock = clock;
  }

  /** Whether anything is counted; while it isn't, no fingerprint need be worked out. */
  public boolean active() {
    return !own.isEmpty() || !others.isEmpty();
  }

  /** Whether the request has crashed too many servers to be sent again. */
  public boolean holds(String fingerprint) {
    return crashes(fingerprint) >= LIMIT;
  }

  /** Takes note that a server closed a request's connection without an answer. */
  public void onBrokenOff(String fingerprint, ServerIncarnation server) {
    if (suspects.size() < MOST_TRACKED) {
      suspects.add(new Suspect(fingerprint, server, clock.instant()));
    }
  }

  /** Takes note that a server can't be connected to: what broke off there was a crash. */
  public void onUnreachable(ServerIncarnation server) {
    confirm(suspect -> suspect.server().equals(server));
  }

  /** Forgets what was counted of a request that a server has answered. */
  public void onAnswered(String fingerprint) {
    Count count = own.get(fingerprint);
    if (count != null && count.crashes > 0) {
      count.crashes = 0;
      count.noteDue = true;
    }
  }

  /**
   * Takes servers that are gone from the list, or replaced, as crashed, and forgets what is old.
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
    Map<String, Map<String, Heard>> before = new HashMap<>(others);
    others.clear();
    for (SharedNote note : notes) {
      if (!(note instanceof SharedNote.Crash crash)) {
        continue;
      }
      if (!crash.instance().equals(instance)) {
        hear(crash, before);
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

  /** Takes over what an earlier process on this machine had counted. */
  private void goOn(SharedNote.Crash crash) {
    Count count = own.computeIfAbsent(crash.fingerprint(), fingerprint -> new Count());
    count.crashes += crash.count();
    count.last = clock.instant();
  }

  /** {@code before} is what was known; a count that was known already is as old as it was. */
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
    Heard heard =
        known != null && known.crashes() == crash.count()
            ? known
            : new Heard(crash.count(), clock.instant());
    others
        .computeIfAbsent(crash.fingerprint(), fingerprint -> new HashMap<>())
        .put(crash.instance(), heard);
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
