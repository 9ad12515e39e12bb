package org.teaseldeal.core.part;

import java.util.function.Consumer;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;

/** Determines whether this instance won the claim of a request. */
@FunctionalInterface
public interface ClaimConfirmation {
  /** Appends an entry and passes on its outcome as the order of the log decides it. */
  @FunctionalInterface
  interface Ledger {
    void submit(Entry entry, Consumer<Outcome> then);
  }

  /**
   * Reads the claim back from the log. Two instances can append claims for one key at the same
   * moment. An instance that ran its own request without reading the log's order would run the
   * request a second time.
   */
  ClaimConfirmation READ_BACK = (claim, ledger, then) -> ledger.submit(claim, then);

  /** Appends the claim and calls {@code then} with its outcome. */
  void claim(Entry.Claim claim, Ledger ledger, Consumer<Outcome> then);
}
