package org.teaseldeal.operator.session;

import org.teaseldeal.ledger.state.LedgerState;

/** What came of reading the log to its end. */
public sealed interface CatchUpResult {
  /** The state after every record that was on the log when the reading began. */
  record Done(LedgerState state) implements CatchUpResult {}

  /** The log couldn't be read in time. */
  record Unreachable(String detail) implements CatchUpResult {}
}
