package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.api.TeamId;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.state.AccountView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.report.TextTable;
import org.teaseldeal.operator.session.LedgerSessions;

/** Shows budgets as they are at the end of the log. */
@Parameters(
    commandNames = "show",
    commandDescription =
        "Show the budgets of a team, or all budgets: granted = charged + written off + leased + remaining")
public final class BudgetShow implements Command {
  @Parameter(description = "[TEAM]")
  private List<String> arguments = new ArrayList<>();

  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** One budget. */
  record Row(
      String account, long granted, long charged, long writtenOff, long leased, long remaining) {
    static Row of(AccountView view) {
      return new Row(
          view.account().toString(),
          view.granted(),
          view.charged(),
          view.writtenOff(),
          view.leased(),
          view.remaining());
    }
  }

  /** The budgets, ordered by account name. */
  record Budgets(List<Row> budgets) implements Report {
    @Override
    public String text() {
      TextTable table =
          new TextTable("ACCOUNT", "GRANTED", "CHARGED", "WRITTEN OFF", "LEASED", "REMAINING");
      budgets.forEach(
          row ->
              table.addRow(
                  row.account(),
                  row.granted(),
                  row.charged(),
                  row.writtenOff(),
                  row.leased(),
                  row.remaining()));
      return table.toString();
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments positional = PositionalArguments.check(arguments, "[TEAM]");
    if (!positional.has(0)) {
      LedgerSessions ledgers = context.ledgers(platform);
      return LedgerReads.withAllStates(
          ledgers, states -> CommandResult.ok(new Budgets(rows(states))));
    }
    TeamId team = positional.parse(0, TeamId::new);
    LedgerSessions ledgers = context.ledgers(platform);
    return LedgerReads.withState(ledgers.session(team), state -> show(state, team));
  }

  private static CommandResult show(LedgerState state, TeamId team) {
    List<Row> rows =
        rows(List.of(state)).stream()
            .filter(
                row -> row.account().equals(team.name()) || row.account().startsWith(team + "/"))
            .toList();
    return rows.isEmpty()
        ? CommandResult.failed(ExitStatus.REFUSED, "team %s has no budget".formatted(team))
        : CommandResult.ok(new Budgets(rows));
  }

  private static List<Row> rows(List<LedgerState> states) {
    return states.stream()
        .flatMap(LedgerState::accounts)
        .sorted((a, b) -> a.account().compareTo(b.account()))
        .map(Row::of)
        .toList();
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
