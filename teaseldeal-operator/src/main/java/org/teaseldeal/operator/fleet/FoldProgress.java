package org.teaseldeal.operator.fleet;

import java.util.OptionalLong;

/**
 * The last offset of a stream that an instance is known to have folded into its state.
 *
 * @param offset the last offset that the instance is known to have folded; empty if none is known
 * @param note why the progress isn't known more exactly; empty if the instance reported it itself
 */
public record FoldProgress(OptionalLong offset, String note) {
  static FoldProgress known(long offset) {
    return new FoldProgress(OptionalLong.of(offset), "");
  }

  static FoldProgress unknown(String note) {
    return new FoldProgress(OptionalLong.empty(), note);
  }

  /** Returns whether the instance is known to have folded the record at offset {@code target}. */
  public boolean reaches(long target) {
    return offset.isPresent() && offset.getAsLong() >= target;
  }

  /**
   * Returns this progress if it has an offset, and otherwise the offset that the records of the
   * instance itself prove.
   */
  FoldProgress orElseRecorded(OptionalLong recorded) {
    return offset.isPresent() ? this : new FoldProgress(recorded, note);
  }
}
