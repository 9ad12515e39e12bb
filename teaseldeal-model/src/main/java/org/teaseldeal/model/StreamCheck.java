package org.teaseldeal.model;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Checks that streams hold events of one software version, and that those that callers take up go
 * on about as often as new ones are served. The bounds are those of the platform's rules.
 */
final class StreamCheck {
  private static final int ALLOWED_MIXED_STREAMS = 2;
  private static final int MIN_TAKEN_UP = 12;

  private final List<String> mixed = new ArrayList<>();
  private long begun;
  private long served;
  private long takenUp;
  private long wentOn;

  /** Records the versions of the events that a caller holds when its request ends. */
  void onStreamEnded(long request, Set<String> versions) {
    if (versions.size() > 1) {
      mixed.add("stream %d has events of %s".formatted(request, versions));
    }
  }

  /** Records an attempt at an instance in touch that begins a stream. */
  void onBegun(boolean answered) {
    begun++;
    served += answered ? 1 : 0;
  }

  /**
   * Records an attempt at an instance in touch that takes up a stream while two engines of its
   * version run.
   */
  void onTakenUp(boolean answered) {
    takenUp++;
    wentOn += answered ? 1 : 0;
  }

  List<String> violations() {
    List<String> violations = new ArrayList<>();
    if (mixed.size() > ALLOWED_MIXED_STREAMS) {
      violations.add("%d mixed streams, first %s".formatted(mixed.size(), mixed.getFirst()));
    }
    if (takenUp >= MIN_TAKEN_UP && 2 * wentOn * begun < served * takenUp) {
      violations.add(
          "%d of %d streams taken up went on, %d of %d new ones were served"
              .formatted(wentOn, takenUp, served, begun));
    }
    return violations;
  }
}
