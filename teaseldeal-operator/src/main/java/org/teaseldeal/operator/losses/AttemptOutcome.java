package org.teaseldeal.operator.losses;

/** How an attempt of a caller ended; the better ones come first. */
enum AttemptOutcome {
  IN_TIME,
  LATE,
  REFUSED,
  FAILED;

  /** The better of two attempts is what became of the request. */
  AttemptOutcome better(AttemptOutcome other) {
    return compareTo(other) <= 0 ? this : other;
  }
}
