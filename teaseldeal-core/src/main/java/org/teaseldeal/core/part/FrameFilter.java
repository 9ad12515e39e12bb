package org.teaseldeal.core.part;

/** Decides by its position whether a frame of a current attempt is passed on to the caller. */
@FunctionalInterface
public interface FrameFilter {
  /** How a frame relates to the answer that the caller has received so far. */
  enum Verdict {
    /** The frame is the next one of the caller's answer. */
    NEXT,
    /** The caller already has the frame. */
    DUPLICATE,
    /**
     * Frames before this one are missing, so the answer is resumed from the first missing frame.
     */
    GAP
  }

  /**
   * Accepts only the frame at the next position. Any other frame would corrupt the caller's answer
   * with data from another position or another request.
   */
  FrameFilter EXACT =
      (expected, position) -> {
        if (position == expected) {
          return Verdict.NEXT;
        }
        return position < expected ? Verdict.DUPLICATE : Verdict.GAP;
      };

  /**
   * Classifies the frame at {@code position} when the next expected position is {@code expected}.
   */
  Verdict classify(long expected, long position);
}
