package org.teaseldeal.gateway.path;

import org.teaseldeal.api.Preconditions;

/**
 * What is known of the limit that a server process names.
 *
 * @param sequence grows with each change that any instance sees, so that all instances end up with
 *     the same one whatever the order in which they hear of them; clocks of instances differ
 * @param requestsPerSecond the requests that the server takes of all instances together; the last
 *     such number if the limit has ended
 * @param ended whether the server names no limit any more
 * @param source the instance that saw the change
 */
record AnnouncedLimit(long sequence, double requestsPerSecond, boolean ended, String source) {
  /** A smaller change of a limit isn't told to others. */
  private static final double MIN_RELATIVE_CHANGE = 0.1;

  AnnouncedLimit {
    Preconditions.requireNotNegative(sequence, "sequence");
  }

  /** Returns whether this replaces what was known; of two at the same time the stricter one. */
  boolean supersedes(AnnouncedLimit known) {
    if (sequence != known.sequence) {
      return sequence > known.sequence;
    }
    return ended == known.ended ? requestsPerSecond < known.requestsPerSecond : known.ended;
  }

  /** Returns whether a limit that is named now differs so much from this that others are told. */
  boolean differsFrom(double named) {
    return ended
        || Math.abs(named - requestsPerSecond)
            > MIN_RELATIVE_CHANGE * Math.max(named, requestsPerSecond);
  }

  AnnouncedLimit changedTo(double named, String instance) {
    return new AnnouncedLimit(sequence + 1, named, false, instance);
  }

  AnnouncedLimit adjustedTo(double named) {
    return new AnnouncedLimit(sequence, named, false, source);
  }

  AnnouncedLimit endedBy(String instance) {
    return new AnnouncedLimit(sequence + 1, requestsPerSecond, true, instance);
  }
}
