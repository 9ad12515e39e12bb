package org.teaseldeal.operator.command;

import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.operator.report.CommandResult;

/** Results that all commands which write to the ledger share. */
final class LedgerWrites {
  private LedgerWrites() {}

  /** The entry broke a rule of the ledger. */
  static CommandResult unexpectedOutcome(Outcome outcome) {
    String reason =
        outcome instanceof Outcome.Rejected rejected ? rejected.reason() : outcome.toString();
    return CommandResult.failed(
        ExitStatus.REFUSED, "refused by the ledger, nothing was changed: " + reason);
  }
}
