package org.teaseldeal.net;

/**
 * Counts what a connection discards before a call's own answer: interim answers and answers to
 * other calls. A faulty server may send them without end.
 */
final class SkippedAnswers {
  private static final int MAX_ANSWERS = 32;
  private static final int MAX_BYTES = 256 << 10;

  private int interim;
  private int others;
  private int bodyBytes;

  void addInterim() {
    interim++;
  }

  void addOther() {
    others++;
  }

  void addBodyBytes(int bytes) {
    bodyBytes += bytes;
  }

  int count() {
    return interim + others;
  }

  /** Returns whether an answer to another call was among them. */
  boolean includeOther() {
    return others > 0;
  }

  boolean exceedLimits() {
    return count() > MAX_ANSWERS || bodyBytes > MAX_BYTES;
  }

  @Override
  public String toString() {
    return "%d answers with %d bytes were not for the call".formatted(count(), bodyBytes);
  }
}
