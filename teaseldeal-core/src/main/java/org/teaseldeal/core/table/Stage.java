package org.teaseldeal.core.table;

/** The stage that a request has reached. */
public enum Stage {
  /** The request waits for tokens of its budget. */
  WAITING_FOR_TOKENS,
  /** The request's claim has been appended and has not been read back from the log. */
  WAITING_FOR_CLAIM,
  /** The request waits for a backend server. */
  QUEUED,
  /** An attempt is in progress. */
  RUNNING,
  /**
   * The answer is complete and waits until its charge is read back from the log or stored by a
   * peer.
   */
  SETTLING,
  /** The caller has received its final answer. */
  ENDED
}
