package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks that requests with a part that crashes engines are soon sent to none, and that other
 * requests of the same kind are still served. The bounds are those of the platform's rules.
 */
final class CrashingPartCheck {
  private static final int CRASHES = 5;
  private static final int ALLOWED_ARRIVALS = 3;
  private static final int MIN_REQUESTS = 20;

  /** What was seen of one crashing part; times are nanoseconds of virtual time. */
  private static final class Observations {
    private final List<Long> crashes = new ArrayList<>();
    private long lateArrivals;
    private long lastSent;

    private long firstCrash() {
      return crashes.isEmpty() ? Long.MAX_VALUE : crashes.getFirst();
    }
  }

  /** The first attempt of a sound request. */
  private record FirstAttempt(long atNanos, boolean served) {}

  private final VirtualTime time;
  private final String kind;
  private final Duration stabilisationTime;
  private final Map<String, Observations> byPart = new HashMap<>();
  private final List<FirstAttempt> soundAttempts = new ArrayList<>();

  /**
   * Creates a check.
   *
   * @param kind the kind of the requests with crashing parts
   */
  CrashingPartCheck(VirtualTime time, String kind, Duration stabilisationTime) {
    this.time = time;
    this.kind = kind;
    this.stabilisationTime = stabilisationTime;
  }

  /** Records that a caller sends a request with a crashing part. */
  void onRequestSent(CrashingPart part) {
    observations(part).lastSent = time.elapsedNanos();
  }

  /** Records that an engine received a request with a crashing part. */
  void onArrival(CrashingPart part, boolean instanceInTouch) {
    Observations seen = observations(part);
    boolean late =
        seen.crashes.size() >= CRASHES
            && time.elapsedNanos() > seen.crashes.get(CRASHES - 1) + stabilisationTime.toNanos();
    if (late && instanceInTouch) {
      seen.lateArrivals++;
    }
  }

  void onCrash(CrashingPart part) {
    observations(part).crashes.add(time.elapsedNanos());
  }

  /** Records the first attempt of a request without a crashing part. */
  void onFirstAttempt(ModelRequest request, boolean served) {
    if (request.kind().name().equals(kind)) {
      soundAttempts.add(new FirstAttempt(time.elapsedNanos(), served));
    }
  }

  /** The number of engines that crashed under a request with a crashing part. */
  long crashes() {
    return byPart.values().stream().mapToLong(each -> each.crashes.size()).sum();
  }

  List<String> violations() {
    List<String> violations = new ArrayList<>();
    byPart.forEach(
        (part, seen) -> {
          if (seen.lateArrivals > ALLOWED_ARRIVALS) {
            violations.add(
                "requests with part %s were sent %d times more after %d crashes; %d in all"
                    .formatted(part, seen.lateArrivals, CRASHES, seen.crashes.size()));
          }
          checkSoundRequests(part, seen, violations);
        });
    return violations;
  }

  /** Describes how often sound requests were served at the first attempt. */
  List<String> observations() {
    return byPart.entrySet().stream()
        .filter(each -> !each.getValue().crashes.isEmpty())
        .map(
            each ->
                "beside part %s %.3f of %d first attempts were served, before %.3f of %d"
                    .formatted(
                        each.getKey(),
                        during(each.getValue()).value(),
                        during(each.getValue()).count(),
                        before().value(),
                        before().count()))
        .sorted()
        .toList();
  }

  private Share before() {
    return share(0, byPart.values().stream().mapToLong(Observations::firstCrash).min().orElse(0));
  }

  private Share during(Observations seen) {
    long decisive = seen.crashes.get(Math.min(CRASHES, seen.crashes.size()) - 1);
    return share(decisive + 2 * stabilisationTime.toNanos(), seen.lastSent);
  }

  private void checkSoundRequests(String part, Observations seen, List<String> violations) {
    if (seen.crashes.isEmpty()) {
      return;
    }
    Share before = before();
    Share during = during(seen);
    if (before.count() >= MIN_REQUESTS
        && during.count() >= MIN_REQUESTS
        && 2 * during.value() < before.value()) {
      violations.add(
          "beside part %s %.2f of the first attempts were served, before %.2f"
              .formatted(part, during.value(), before.value()));
    }
  }

  /** The share of sound requests that were served at the first attempt. */
  private record Share(long count, double value) {}

  private Share share(long from, long to) {
    List<FirstAttempt> attempts =
        soundAttempts.stream()
            .filter(each -> each.atNanos() >= from && each.atNanos() < to)
            .toList();
    long served = attempts.stream().filter(FirstAttempt::served).count();
    return new Share(attempts.size(), attempts.isEmpty() ? 1 : (double) served / attempts.size());
  }

  private Observations observations(CrashingPart part) {
    return byPart.computeIfAbsent(part.id(), id -> new Observations());
  }
}
