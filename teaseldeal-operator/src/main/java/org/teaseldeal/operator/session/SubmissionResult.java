package org.teaseldeal.operator.session;

import java.util.List;
import org.teaseldeal.ledger.outcome.Outcome;

/** What is known about entries that a session was asked to write. */
public sealed interface SubmissionResult {
  /**
   * The entries were read back from the log; {@code outcomes} are the outcomes that every reader of
   * the log derives for them.
   */
  record ReadBack(List<Outcome> outcomes) implements SubmissionResult {
    public ReadBack {
      outcomes = List.copyOf(outcomes);
    }
  }

  /** No append can have reached the log, so nothing was written. */
  record NotWritten(String detail) implements SubmissionResult {}

  /**
   * An append was sent but its record wasn't read back within the timeout. The record may already
   * be on the log, or may still be appended.
   */
  record Unknown(String detail) implements SubmissionResult {}
}
