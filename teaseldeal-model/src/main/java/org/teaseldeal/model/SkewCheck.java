package org.teaseldeal.model;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Checks that callers are served about as often as before while most of them reach one instance.
 * The bounds are those of the platform's rules.
 */
final class SkewCheck {
  private static final int MIN_REQUESTS = 20;

  private final VirtualTime time;
  private final Duration stabilisationTime;
  private long begunAt = -1;
  private long endedAt = Long.MAX_VALUE;
  private long before;
  private long servedBefore;
  private long during;
  private long servedDuring;

  SkewCheck(VirtualTime time, Duration stabilisationTime) {
    this.time = time;
    this.stabilisationTime = stabilisationTime;
  }

  void onBegun() {
    begunAt = time.elapsedNanos();
  }

  void onEnded() {
    endedAt = time.elapsedNanos();
  }

  /** Records the end of a request's first attempt. */
  void onFirstAttempt(boolean served) {
    if (begunAt < 0) {
      before++;
      servedBefore += served ? 1 : 0;
    } else if (time.elapsedNanos() >= begunAt + stabilisationTime.toNanos()
        && time.elapsedNanos() < endedAt) {
      during++;
      servedDuring += served ? 1 : 0;
    }
  }

  List<String> violations() {
    List<String> violations = new ArrayList<>();
    boolean lessOften = 4 * servedDuring * before < 3 * servedBefore * during;
    if (before >= MIN_REQUESTS && during >= MIN_REQUESTS && lessOften) {
      violations.add(
          "while most callers reached one instance, %d of %d first attempts were served, before %d of %d"
              .formatted(servedDuring, during, servedBefore, before));
    }
    return violations;
  }
}
