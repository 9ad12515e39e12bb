package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameters;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.entry.Entry;

/** Creates the budget of a team or of a service. */
@Parameters(commandNames = "create", commandDescription = "Create the budget of a team or service")
public final class BudgetCreate extends BudgetChange {
  @Override
  Entry entry(AccountId account, long tokens, String authorName, String operationId) {
    return new Entry.CreateBudget(account, tokens, authorName, operationId);
  }
}
