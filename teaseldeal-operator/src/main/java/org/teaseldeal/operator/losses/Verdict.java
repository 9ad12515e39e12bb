package org.teaseldeal.operator.losses;

/** How an attempt of a caller ended; the better ones come first. */
enum Verdict {
  IN_TIME,
  LATE,
  REFUSED,
  FAILED;

  /** The better of two attempts is what became of the request. */
  Verdict better(Verdict other) {
    return compareTo(other) <= 0 ? this : other;
  }
}
