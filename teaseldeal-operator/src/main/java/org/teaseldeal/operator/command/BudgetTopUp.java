package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameters;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.entry.Entry;

/** Adds tokens to a budget. */
@Parameters(commandNames = "top-up", commandDescription = "Add tokens to a budget")
public final class BudgetTopUp extends BudgetChange {
  @Override
  Entry entry(AccountId account, long tokens, String authorName, String operationId) {
    return new Entry.TopUp(account, tokens, authorName, operationId);
  }
}
