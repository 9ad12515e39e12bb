package org.teaseldeal.operator.session;

import java.util.List;
import org.teaseldeal.ledger.outcome.Outcome;

/** What is known of entries that were to be written. */
public sealed interface SubmissionResult {
  /** The entries were read back from the log; each has the outcome that every reader sees. */
  record ReadBack(List<Outcome> outcomes) implements SubmissionResult {
    public ReadBack {
      outcomes = List.copyOf(outcomes);
    }
  }

  /** No append left this process, so nothing was written. */
  record NotWritten(String detail) implements SubmissionResult {}

  /** An append was sent and hasn't been read back in time: it may be on the log or get there. */
  record Unknown(String detail) implements SubmissionResult {}
}
