package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.ledger.state.SubtreeView;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.report.TextTable;
import org.teaseldeal.operator.session.LedgerSession;
import org.teaseldeal.operator.session.LedgerSessions;
import org.teaseldeal.operator.session.Publications.Publication;
import org.teaseldeal.settings.SubtreeId;

/** Lists the revisions of a subtree that are or were in force. */
@Parameters(
    commandNames = "history",
    commandDescription = "List the revisions of a subtree, as far back as the log retains records")
public final class SettingsHistory implements Command {
  @Parameter(description = "SUBTREE")
  private List<String> arguments = new ArrayList<>();

  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** The revisions, starting with the one in force. */
  record History(String subtree, List<Publication> revisions) implements Report {
    @Override
    public String text() {
      if (revisions.isEmpty()) {
        return "%s: the log no longer retains a publication of it".formatted(subtree);
      }
      TextTable table = new TextTable("REVISION", "BASED ON", "PUBLISHED AT", "AUTHOR");
      revisions.forEach(
          row -> table.addRow(row.revision(), row.baseRevision(), row.publishedAt(), row.author()));
      return table.toString();
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    SubtreeId subtree = PositionalArguments.check(arguments, "SUBTREE").parse(0, SubtreeId::new);
    LedgerSessions ledgers = context.ledgers(platform);
    LedgerSession session = ledgers.session(subtree);
    return LedgerReads.withState(session, state -> history(session, state, subtree));
  }

  private static CommandResult history(
      LedgerSession session, LedgerState state, SubtreeId subtree) {
    long current = state.subtree(subtree).map(SubtreeView::revision).orElse(0L);
    return LedgerReads.withPublications(
        session,
        subtree,
        publications ->
            CommandResult.ok(new History(subtree.value(), publications.acceptedUpTo(current))));
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
