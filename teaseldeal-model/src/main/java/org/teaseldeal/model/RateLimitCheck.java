package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that a server that names a limit of the requests in a second that it takes gets no more of
 * all instances together. The bounds are those of the platform's rules: only requests of instances
 * count that passed on an answer with the limit some time before.
 */
final class RateLimitCheck {
  private static final Duration WINDOW = Duration.ofSeconds(4);
  private static final Duration PASSED_ON_BEFORE = Duration.ofMillis(500);
  private static final double FACTOR = 1.5;
  private static final int SLACK = 5;

  /** What was seen of one server while it names a limit; times are nanoseconds of virtual time. */
  private static final class Observations {
    private double limit;
    private final long firstNamedAt;
    private final Map<String, Long> passedOnAt = new HashMap<>();
    private final Deque<Long> countedArrivals = new ArrayDeque<>();
    private int mostInWindow;
    private int arrivals;

    Observations(long firstNamedAt) {
      this.firstNamedAt = firstNamedAt;
    }
  }

  private final VirtualTime time;
  private final Duration stabilisationTime;
  private final Map<String, Observations> byServer = new TreeMap<>();
  private final List<String> violations = new ArrayList<>();
  private final List<String> observations = new ArrayList<>();

  RateLimitCheck(VirtualTime time, Duration stabilisationTime) {
    this.time = time;
    this.stabilisationTime = stabilisationTime;
  }

  /** Records that a server begins an answer that names its limit. */
  void onNamed(String server, double limit) {
    byServer.computeIfAbsent(server, name -> new Observations(time.elapsedNanos())).limit = limit;
  }

  /** Records that an instance received an answer with a server's limit. */
  void onPassedOn(String instance, String server) {
    Observations seen = byServer.get(server);
    if (seen != null) {
      seen.passedOnAt.putIfAbsent(instance, time.elapsedNanos());
    }
  }

  /** Records that a process of an instance starts, which knows nothing of earlier answers. */
  void onInstanceStarted(String instance) {
    byServer.values().forEach(seen -> seen.passedOnAt.remove(instance));
  }

  /** Records that a request of an instance arrives at a server. */
  void onArrival(String instance, String server, boolean instanceInTouch) {
    Observations seen = byServer.get(server);
    long now = time.elapsedNanos();
    if (seen == null || now < seen.firstNamedAt + stabilisationTime.toNanos()) {
      return;
    }
    seen.arrivals++;
    Long passedOnAt = seen.passedOnAt.get(instance);
    if (!instanceInTouch || passedOnAt == null || now - passedOnAt < PASSED_ON_BEFORE.toNanos()) {
      return;
    }
    seen.countedArrivals.add(now);
    while (now - seen.countedArrivals.getFirst() >= WINDOW.toNanos()) {
      seen.countedArrivals.removeFirst();
    }
    seen.mostInWindow = Math.max(seen.mostInWindow, seen.countedArrivals.size());
  }

  /** Records that a server no longer names a limit. */
  void onEnded(String server) {
    Observations seen = byServer.remove(server);
    if (seen == null) {
      return;
    }
    double allowed = FACTOR * WINDOW.toSeconds() * seen.limit + SLACK;
    if (seen.mostInWindow > allowed) {
      violations.add(
          "%s got %d requests in %d s from instances that it had told of %s a second, allowed %s"
              .formatted(server, seen.mostInWindow, WINDOW.toSeconds(), seen.limit, allowed));
    }
    double judgedSeconds =
        (time.elapsedNanos() - seen.firstNamedAt - stabilisationTime.toNanos()) / 1e9;
    if (judgedSeconds > 0) {
      observations.add(
          String.format(
              Locale.ROOT,
              "%s took %.2f of %s requests a second, %d at most in %d s",
              server,
              seen.arrivals / judgedSeconds,
              seen.limit,
              seen.mostInWindow,
              WINDOW.toSeconds()));
    }
  }

  List<String> violations() {
    List.copyOf(byServer.keySet()).forEach(this::onEnded);
    return List.copyOf(violations);
  }

  /** Describes what servers with a limit got. */
  List<String> observations() {
    return List.copyOf(observations);
  }
}
