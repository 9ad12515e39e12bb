package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.AccountId;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.session.LedgerSession;
import org.teaseldeal.operator.session.LedgerSessions;
import org.teaseldeal.operator.session.SubmissionResult;

/**
 * Grants tokens to a budget.
 *
 * <p>A change with an operation id is applied once, however often it is repeated. The id is printed
 * before anything is written, so that the operator knows it even if the response or this process is
 * lost.
 */
abstract sealed class BudgetChange implements Command permits BudgetCreate, BudgetTopUp {
  private static final int MAX_OPERATION_LENGTH = 100;

  @Parameter(description = "ACCOUNT TOKENS (ACCOUNT is TEAM or TEAM/SERVICE)")
  private List<String> arguments = new ArrayList<>();

  @Parameter(
      names = "--operation",
      description =
          "Operation id of an earlier change whose outcome is unknown, to repeat it safely")
  private @Nullable String operation;

  @ParametersDelegate private final AuthorOption author = new AuthorOption();
  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** The change was applied, by this command or by an earlier one with the same operation id. */
  record Granted(String account, long tokens, long granted, String operation, boolean countedBefore)
      implements Report {
    @Override
    public String text() {
      return countedBefore
          ? "%s: operation %s was applied before, nothing was added; %d tokens granted in total"
              .formatted(account, operation, granted)
          : "%s: %d tokens added, %d tokens granted in total (operation %s)"
              .formatted(account, tokens, granted, operation);
    }
  }

  /** Creates the ledger entry that requests the change. */
  abstract Entry entry(AccountId account, long tokens, String authorName, String operationId);

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments positional = PositionalArguments.check(arguments, "ACCOUNT", "TOKENS");
    AccountId account = positional.parse(0, AccountId::parse);
    long tokens = positional.tokens(1);
    String authorName = author.author(context.environment());
    String operationId = operationId(context);
    LedgerSessions ledgers = context.ledgers(platform);
    context.notice().accept("operation " + operationId);
    LedgerSession session = ledgers.session(account.team());
    Entry entry = entry(account, tokens, authorName, operationId);
    return LedgerReads.withState(
        session,
        before ->
            switch (session.submit(List.of(entry))) {
              case SubmissionResult.NotWritten(String detail) ->
                  CommandResult.failed(
                      ExitStatus.UNREACHABLE,
                      "%s: nothing was written: %s".formatted(account, detail));
              case SubmissionResult.Unknown(String detail) -> unknown(account, operationId, detail);
              case SubmissionResult.ReadBack(List<Outcome> outcomes) ->
                  outcome(session, tokens, outcomes.getFirst());
            });
  }

  private static CommandResult outcome(LedgerSession session, long tokens, Outcome outcome) {
    return switch (outcome) {
      case Outcome.BudgetGranted(AccountId account, long granted, String id) ->
          CommandResult.ok(new Granted(account.toString(), tokens, granted, id, false));
      case Outcome.BudgetUnchanged unchanged when unchanged.alreadyApplied() ->
          LedgerReads.withState(
              session,
              state ->
                  CommandResult.ok(
                      new Granted(
                          unchanged.account().toString(),
                          0,
                          state.account(unchanged.account()).orElseThrow().granted(),
                          unchanged.operation(),
                          true)));
      case Outcome.BudgetUnchanged unchanged ->
          CommandResult.failed(
              ExitStatus.REFUSED,
              "%s: refused, nothing was changed: %s"
                  .formatted(unchanged.account(), unchanged.reason()));
      default -> LedgerWrites.unexpectedOutcome(outcome);
    };
  }

  private static CommandResult unknown(AccountId account, String operationId, String detail) {
    return CommandResult.failed(
        ExitStatus.UNREACHABLE,
        """
        %s: it is unknown whether the change was written or will still be written: %s
        repeat the command with --operation %s: the change is applied only once"""
            .formatted(account, detail, operationId));
  }

  private String operationId(CommandContext context) {
    if (operation == null) {
      return "op-" + HexFormat.of().toHexDigits(context.random().nextLong());
    }
    if (operation.isBlank() || operation.length() > MAX_OPERATION_LENGTH) {
      throw new ParameterException(
          "--operation had %d characters, expected 1 to %d that aren't all blank"
              .formatted(operation.length(), MAX_OPERATION_LENGTH));
    }
    return operation;
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
