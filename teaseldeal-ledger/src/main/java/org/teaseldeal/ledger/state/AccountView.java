package org.teaseldeal.ledger.state;

import org.teaseldeal.ledger.AccountId;

/**
 * The token counts of a budget at one offset.
 *
 * <p>{@code granted = charged + writtenOff + leased + remaining} always holds.
 *
 * @param granted tokens put into the budget by its creation and top-ups
 * @param charged tokens spent on charged requests
 * @param writtenOff tokens that count as spent without a charged request
 * @param leased tokens under leases of live instances, including those that are spent but whose
 *     charge is not on the log yet
 */
public record AccountView(
    AccountId account, long granted, long charged, long writtenOff, long leased) {
  /** Returns the number of tokens that can still be leased. */
  public long remaining() {
    return granted - charged - writtenOff - leased;
  }
}
