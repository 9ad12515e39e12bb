package org.teaseldeal.operator.losses;

/** How an attempt of a caller ended, from the best outcome to the worst. */
enum AttemptOutcome {
  IN_TIME,
  LATE,
  REFUSED,
  FAILED;

  /** Returns the better of two outcomes, which is the outcome of a request with both attempts. */
  AttemptOutcome better(AttemptOutcome other) {
    return compareTo(other) <= 0 ? this : other;
  }
}
