package org.teaseldeal.operator.command;

import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.operator.report.CommandResult;

/** Results shared by the commands that write to the ledger. */
final class LedgerWrites {
  private LedgerWrites() {}

  /** Returns the result for an entry that the ledger rejected because it broke a rule. */
  static CommandResult unexpectedOutcome(Outcome outcome) {
    String reason =
        outcome instanceof Outcome.Rejected rejected ? rejected.reason() : outcome.toString();
    return CommandResult.failed(
        ExitStatus.REFUSED, "refused by the ledger, nothing was changed: " + reason);
  }
}
