package org.teaseldeal.net;

/** States how far a call got before it ended without a complete answer. */
public enum HttpFailure {
  /** No byte of the request was written. */
  NOT_SENT,
  /** At least one byte of the request was written, but no head of an answer was received. */
  NO_ANSWER,
  /** The answer started but was not received completely. */
  BROKEN_ANSWER
}
