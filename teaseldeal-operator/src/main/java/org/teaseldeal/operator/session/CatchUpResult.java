package org.teaseldeal.operator.session;

import org.teaseldeal.ledger.state.LedgerState;

/** The result of reading a stream of the log to its end. */
public sealed interface CatchUpResult {
  /**
   * The stream was read; {@code state} includes every record that was on it when the reading began.
   */
  record Done(LedgerState state) implements CatchUpResult {}

  /** The stream couldn't be read within the timeout; {@code detail} says why. */
  record Unreachable(String detail) implements CatchUpResult {}
}
