package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.ledger.state.SubtreeView;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.report.TextTable;
import org.teaseldeal.operator.session.LedgerSessions;
import org.teaseldeal.settings.SubtreeId;

/** Shows the settings of a subtree in force, or lists all subtrees. */
@Parameters(
    commandNames = "show",
    commandDescription = "Show the settings of a subtree in force, or list all subtrees")
public final class SettingsShow implements Command {
  @Parameter(description = "[SUBTREE]")
  private List<String> arguments = new ArrayList<>();

  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** A subtree in force; its text for people is valid TOML. */
  record Subtree(String subtree, long revision, String author, String toml) implements Report {
    @Override
    public String text() {
      return "# %s, revision %d, by %s\n%s"
          .formatted(subtree, revision, author, toml.stripTrailing());
    }
  }

  /** One subtree in the list. */
  record Row(String subtree, long revision, String author) {}

  /** All subtrees in force. */
  record Subtrees(List<Row> subtrees) implements Report {
    @Override
    public String text() {
      TextTable table = new TextTable("SUBTREE", "REVISION", "AUTHOR");
      subtrees.forEach(row -> table.addRow(row.subtree(), row.revision(), row.author()));
      return table.toString();
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments positional = PositionalArguments.check(arguments, "[SUBTREE]");
    if (!positional.has(0)) {
      LedgerSessions ledgers = context.ledgers(platform);
      return LedgerReads.withAllStates(ledgers, SettingsShow::list);
    }
    SubtreeId subtree = positional.parse(0, SubtreeId::new);
    LedgerSessions ledgers = context.ledgers(platform);
    return LedgerReads.withState(ledgers.session(subtree), state -> show(state, subtree));
  }

  private static CommandResult list(List<LedgerState> states) {
    List<Row> rows =
        states.stream()
            .flatMap(state -> state.subtrees().stream())
            .map(view -> new Row(view.subtree().value(), view.revision(), view.author()))
            .toList();
    return CommandResult.ok(new Subtrees(rows));
  }

  private static CommandResult show(LedgerState state, SubtreeId subtree) {
    Optional<SubtreeView> found = state.subtree(subtree);
    if (found.isEmpty()) {
      return CommandResult.failed(
          ExitStatus.REFUSED, "%s has no settings in force".formatted(subtree));
    }
    SubtreeView view = found.get();
    return CommandResult.ok(
        new Subtree(subtree.value(), view.revision(), view.author(), view.toml()));
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
