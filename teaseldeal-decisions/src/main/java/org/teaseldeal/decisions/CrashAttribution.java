package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Attributes crashes of backend servers to parts of the prompts that ran there.
 *
 * <p>A part of a prompt may crash each server that begins to answer a request with it. The requests
 * may differ in everything else, so neither a request nor its caller can be held responsible. Each
 * crash implicates all parts of the requests whose answers were about to begin. An answer clears
 * the parts of its request, since a crashing part is never answered. A part that is implicated in
 * several crashes and not cleared since is quarantined.
 *
 * <p>Servers also crash for other reasons, and many at the same moment if a rack or a data centre
 * fails. Crashes at the same moment count as one, so that such a failure doesn't quarantine the
 * parts that were in use everywhere. A part that was answered a short time ago is quarantined only
 * after more crashes, as the answers under way will most likely clear it.
 */
public final class CrashAttribution {
  /** The crashes from which on a part is quarantined. Two may be a coincidence. */
  public static final int CRASH_LIMIT = 3;

  /** The same for a part that was answered a short time before. */
  private static final int KNOWN_PART_CRASH_LIMIT = 6;

  /**
   * The crashes from which on an unknown part is quarantined even if they happened at the same
   * moment, unless it is answered within {@link #CLEARING_TIME}. A part that many callers send at
   * once crashes many servers at once, but no rack fails in which each server answers only them.
   */
  private static final int SAME_MOMENT_CRASH_LIMIT = 5;

  /** Longer than a sound part that is in use everywhere takes to be answered by another server. */
  private static final Duration CLEARING_TIME = Duration.ofMillis(1200);

  /** Crashes within this time count as one. Instances learn of a crash some tens of ms apart. */
  private static final Duration SAME_MOMENT = Duration.ofMillis(300);

  /** Limits memory use; a fleet has fewer servers, and evidence of the oldest crash is dropped. */
  private static final int MAX_CRASHES = 2_000;

  /** One crash; each object stands for itself. */
  private static final class Crash {
    private final String id;
    private final Instant recordedAt;
    private Instant at;
    private Instant usedAt;
    private final Set<String> parts = new HashSet<>();

    private Crash(String id, Instant at, Instant now) {
      this.id = id;
      this.at = at;
      this.recordedAt = now;
      this.usedAt = now;
    }
  }

  private final Duration retention;
  private final Map<String, Crash> crashes = new LinkedHashMap<>();
  private final Map<String, Set<Crash>> crashesByPart = new HashMap<>();
  private final Map<String, Set<String>> clearedByPart = new HashMap<>();

  /**
   * Creates an empty attribution.
   *
   * @param retention how long a crash is remembered after it last had an effect
   */
  public CrashAttribution(Duration retention) {
    this.retention = retention;
  }

  /** Returns whether no crash is remembered. */
  public boolean isEmpty() {
    return crashes.isEmpty();
  }

  /**
   * Records that a server crashed while answers to requests with these parts were about to begin.
   * Several instances may report parts of the same crash.
   *
   * @param crash identifies the crash, such as by the server's process
   * @param at when it happened, by a clock that all instances share approximately
   * @param now the present time of this instance
   */
  public void onCrash(String crash, Instant at, Collection<String> parts, Instant now) {
    if (!crashes.containsKey(crash) && crashes.size() >= MAX_CRASHES) {
      forget(crashes.keySet().iterator().next());
    }
    Crash known = crashes.computeIfAbsent(crash, id -> new Crash(id, at, now));
    known.at = at.isBefore(known.at) ? at : known.at;
    for (String part : parts) {
      known.parts.add(part);
      if (!clearedByPart.getOrDefault(part, Set.of()).contains(crash)) {
        crashesByPart.computeIfAbsent(part, id -> new LinkedHashSet<>()).add(known);
      }
    }
  }

  /** Records that a part did not cause these crashes, which may not be known yet. */
  public void onCleared(String part, Collection<String> clearedCrashes) {
    if (clearedCrashes.isEmpty()) {
      return;
    }
    clearedByPart.computeIfAbsent(part, id -> new HashSet<>()).addAll(clearedCrashes);
    Set<Crash> implicated = crashesByPart.get(part);
    if (implicated != null) {
      implicated.removeIf(crash -> clearedCrashes.contains(crash.id));
      crashesByPart.remove(part, Set.of());
    }
  }

  /** Returns the crashes in which a part is implicated and not cleared. */
  public Set<String> crashesOf(String part) {
    return uncleared(part).stream().map(crash -> crash.id).collect(Collectors.toSet());
  }

  private Set<Crash> uncleared(String part) {
    return crashesByPart.getOrDefault(part, Set.of());
  }

  /** Returns the crashes of which a part has been cleared. */
  public Set<String> clearedCrashesOf(String part) {
    return Set.copyOf(clearedByPart.getOrDefault(part, Set.of()));
  }

  /** Returns the number of moments of crashes in which a part is implicated and not cleared. */
  public int countOf(String part) {
    Instant last = Instant.MIN;
    int count = 0;
    for (Instant at : uncleared(part).stream().map(crash -> crash.at).sorted().toList()) {
      if (count == 0 || !at.isBefore(last.plus(SAME_MOMENT))) {
        count++;
        last = at;
      }
    }
    return count;
  }

  /** Returns when a part was last implicated in a crash of which it is not cleared. */
  public Optional<Instant> lastCrashOf(String part) {
    return uncleared(part).stream().map(crash -> crash.at).max(Instant::compareTo);
  }

  /**
   * Returns whether a part is implicated in enough crashes to be quarantined.
   *
   * @param answeredLately whether this instance has seen it answered lately
   * @param now the present time of this instance
   */
  public boolean exceedsLimit(String part, boolean answeredLately, Instant now) {
    Set<Crash> crashesOfPart = uncleared(part);
    if (crashesOfPart.size() < CRASH_LIMIT) {
      return false;
    }
    if (answeredLately || clearedByPart.containsKey(part)) {
      return countOf(part) >= KNOWN_PART_CRASH_LIMIT;
    }
    return countOf(part) >= CRASH_LIMIT || crashedManyAtOnce(crashesOfPart, now);
  }

  private static boolean crashedManyAtOnce(Set<Crash> crashesOfPart, Instant now) {
    return crashesOfPart.stream()
            .filter(crash -> !crash.recordedAt.plus(CLEARING_TIME).isAfter(now))
            .count()
        >= SAME_MOMENT_CRASH_LIMIT;
  }

  /**
   * A part that is implicated in enough crashes to be quarantined.
   *
   * @param certain whether the crashes show that a request with it must not be sent. If several
   *     parts were in all of the same crashes, they don't tell which of them was the cause. A
   *     request with only some of these parts decides it: its answer clears them, or its crash
   *     leaves them as the only ones that were in all crashes.
   */
  public record Suspect(String part, boolean certain) {}

  /**
   * Returns the part for which a request must not be sent, or only to find out whether it may.
   *
   * @param parts the parts of the request's prompt
   * @param answeredLately the parts that this instance has seen answered lately
   * @param now the present time of this instance
   */
  public Optional<Suspect> suspect(List<String> parts, Set<String> answeredLately, Instant now) {
    return parts.stream()
        .filter(part -> exceedsLimit(part, answeredLately.contains(part), now))
        .map(part -> new Suspect(part, parts.containsAll(alternativesTo(part))))
        .max(Comparator.comparing(Suspect::certain));
  }

  /** The parts that could have caused all the crashes in which {@code part} is implicated. */
  private Set<String> alternativesTo(String part) {
    Set<Crash> explained = uncleared(part);
    return explained.stream()
        .limit(1)
        .flatMap(crash -> crash.parts.stream())
        .filter(other -> uncleared(other).containsAll(explained))
        .collect(Collectors.toSet());
  }

  /** Keeps the crashes of a part for longer, because requests with it still come. */
  public void keep(String part, Instant now) {
    uncleared(part).forEach(crash -> crash.usedAt = now);
  }

  /** Drops the crashes that have had no effect for the retention time, and returns them. */
  public Set<String> expire(Instant now) {
    Set<String> expired = new HashSet<>();
    crashes.forEach(
        (id, crash) -> {
          if (crash.usedAt.plus(retention).isBefore(now)) {
            expired.add(id);
          }
        });
    expired.forEach(this::forget);
    return expired;
  }

  private void forget(String crash) {
    Crash forgotten = crashes.remove(crash);
    if (forgotten == null) {
      return;
    }
    for (String part : forgotten.parts) {
      remove(forgotten, crashesByPart, part);
      remove(crash, clearedByPart, part);
    }
  }

  private static <T> void remove(T crash, Map<String, Set<T>> crashesOfParts, String part) {
    Set<T> known = crashesOfParts.get(part);
    if (known != null) {
      known.remove(crash);
      crashesOfParts.remove(part, Set.of());
    }
  }
}
