package org.teaseldeal.operator.command;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.session.CatchUpResult;
import org.teaseldeal.operator.session.LedgerSession;
import org.teaseldeal.operator.session.LedgerSessions;
import org.teaseldeal.operator.session.Publications;
import org.teaseldeal.operator.session.PublicationsResult;
import org.teaseldeal.settings.SubtreeId;

/**
 * Reads the ledger to its end and passes its state to a command; if the log can't be read, the
 * result of the command is that failure.
 */
final class LedgerReads {
  private LedgerReads() {}

  /** Returns the result of {@code command} for the state of one stream. */
  static CommandResult withState(
      LedgerSession session, Function<LedgerState, CommandResult> command) {
    return switch (session.catchUp()) {
      case CatchUpResult.Done(LedgerState state) -> command.apply(state);
      case CatchUpResult.Unreachable(String detail) -> unreachable(detail);
    };
  }

  /**
   * Returns the result of {@code command} for the states of all streams, in the order of the
   * streams.
   */
  static CommandResult withAllStates(
      LedgerSessions ledgers, Function<List<LedgerState>, CommandResult> command) {
    List<LedgerState> states = new ArrayList<>();
    for (LedgerSession session : ledgers.all()) {
      switch (session.catchUp()) {
        case CatchUpResult.Done(LedgerState state) -> states.add(state);
        case CatchUpResult.Unreachable(String detail) -> {
          return unreachable(detail);
        }
      }
    }
    return command.apply(states);
  }

  /**
   * Returns the result of {@code command} for the publications of {@code subtree} that the log
   * still retains.
   */
  static CommandResult withPublications(
      LedgerSession session, SubtreeId subtree, Function<Publications, CommandResult> command) {
    return switch (session.publications(subtree)) {
      case PublicationsResult.Found(Publications publications) -> command.apply(publications);
      case PublicationsResult.Unreachable(String detail) -> unreachable(detail);
    };
  }

  private static CommandResult unreachable(String detail) {
    return CommandResult.failed(
        ExitStatus.UNREACHABLE, "the platform's log can't be read, nothing was written: " + detail);
  }
}
