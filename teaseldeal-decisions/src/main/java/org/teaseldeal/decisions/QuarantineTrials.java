package org.teaseldeal.decisions;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Decides when a quarantined part of a prompt is tried with one request.
 *
 * <p>A part that did not cause the crashes in which it was implicated is cleared by its next
 * answer. If it was quarantined before that answer, no request with it is sent, and it would never
 * be cleared. A trial may crash a server, and such requests may come forever, so there are few
 * trials of a part for good: each crash leaves fewer, and each instance keeps count of its own.
 */
public final class QuarantineTrials {
  /** How long after the last crash the first trial takes place, and the second. */
  private static final List<Duration> DELAYS =
      List.of(Duration.ofSeconds(20), Duration.ofSeconds(120));

  /** The number of instances that send requests with a part that is not certain to be the cause. */
  private static final int TESTING_INSTANCES = 2;

  /** The trials of one part. */
  private record Taken(int count, Instant last) {}

  private final Map<String, Taken> takenByPart = new HashMap<>();

  /**
   * Returns whether a request is sent as a trial, which is counted then.
   *
   * @param crashes the crashes of the part so far, at least {@link CrashAttribution#CRASH_LIMIT}
   * @param lastCrash when the last of them happened
   * @param self the name of this instance; one of {@code instances} tries each part
   */
  public boolean take(
      String part,
      int crashes,
      Instant lastCrash,
      String self,
      Set<String> instances,
      Instant now) {
    Taken taken = takenByPart.getOrDefault(part, new Taken(0, Instant.MIN));
    int number = Math.max(taken.count, crashes - CrashAttribution.CRASH_LIMIT);
    if (number >= DELAYS.size()) {
      return false;
    }
    Instant last = lastCrash.isAfter(taken.last) ? lastCrash : taken.last;
    boolean due = !now.isBefore(last.plus(DELAYS.get(number)));
    if (!due || !self.equals(RendezvousHash.order(part, instances).getFirst())) {
      return false;
    }
    takenByPart.put(part, new Taken(number + 1, now));
    return true;
  }

  /**
   * Returns whether this instance sends requests with a part of which it isn't certain that it
   * caused the crashes. If all instances did, many requests would arrive before one decides it.
   */
  public static boolean tests(String part, String self, Set<String> instances) {
    return RendezvousHash.order(part, instances).stream()
        .limit(TESTING_INSTANCES)
        .anyMatch(self::equals);
  }

  /** Forgets the trials of the parts that don't match. */
  public void retain(Predicate<String> parts) {
    takenByPart.keySet().removeIf(parts.negate());
  }
}
