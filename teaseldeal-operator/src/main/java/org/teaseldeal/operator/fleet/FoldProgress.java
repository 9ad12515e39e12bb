package org.teaseldeal.operator.fleet;

import java.util.OptionalLong;

/**
 * How far an instance is known to have folded a stream.
 *
 * @param offset the last offset it is known to have folded; empty if nothing is known
 * @param note why no more is known; empty if the instance said so itself
 */
public record FoldProgress(OptionalLong offset, String note) {
  static FoldProgress known(long offset) {
    return new FoldProgress(OptionalLong.of(offset), "");
  }

  static FoldProgress unknown(String note) {
    return new FoldProgress(OptionalLong.empty(), note);
  }

  /** Whether the record at {@code wanted} is known to have been folded. */
  public boolean reaches(long wanted) {
    return offset.isPresent() && offset.getAsLong() >= wanted;
  }

  /** This, or what the instance's own records say if nothing else is known. */
  FoldProgress orElseRecorded(OptionalLong written) {
    return offset.isPresent() ? this : new FoldProgress(written, note);
  }
}
