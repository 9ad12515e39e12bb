package org.teaseldeal.bench.load;

/** The outcome of a request of a load, as its caller observed it. */
public enum Outcome {
  /** A complete answer arrived within the caller's timeout. */
  IN_TIME,
  /** A complete answer arrived after the caller's timeout. */
  LATE,
  /** The request was refused with the statement that it was not run. */
  REFUSED,
  /** The request ended with an error after which it may have been run. */
  FAILED,
  /** The answer began but broke off. */
  BROKEN,
  /** A part of the answer is missing, repeated or belongs to another request. */
  WRONG,
  /** No answer arrived within the caller's timeout and a margin. */
  SILENT
}
