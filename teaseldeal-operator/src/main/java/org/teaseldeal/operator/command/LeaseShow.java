package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.ledger.state.InstanceView;
import org.teaseldeal.ledger.state.LeaseView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.report.TextTable;
import org.teaseldeal.operator.session.LedgerSessions;

/** Shows the tokens that remain under leases. */
@Parameters(
    commandNames = "show",
    commandDescription =
        "Show the tokens that remain under the leases of an incarnation, or of all joined ones")
public final class LeaseShow implements Command {
  @Parameter(description = "[INCARNATION]")
  private List<String> arguments = new ArrayList<>();

  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** One lease; {@code ended} is true if its holder has left or was retired. */
  record Row(String incarnation, String service, long tokens, boolean ended) {
    static Row of(LeaseView lease) {
      return new Row(
          lease.source().value(), lease.service().toString(), lease.tokens(), lease.retired());
    }
  }

  /** The leases, grouped by incarnation. */
  record Leases(List<Row> leases) implements Report {
    @Override
    public String text() {
      TextTable table = new TextTable("INCARNATION", "SERVICE", "TOKENS", "STATE");
      leases.forEach(
          row ->
              table.addRow(
                  row.incarnation(),
                  row.service(),
                  row.tokens(),
                  row.ended() ? "written off" : "leased"));
      return table.toString();
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments positional = PositionalArguments.check(arguments, "[INCARNATION]");
    List<IncarnationId> requested =
        positional.has(0) ? List.of(positional.parse(0, IncarnationId::new)) : List.of();
    LedgerSessions ledgers = context.ledgers(platform);
    return LedgerReads.withAllStates(
        ledgers, states -> CommandResult.ok(leases(states, requested)));
  }

  private static Leases leases(List<LedgerState> states, List<IncarnationId> requested) {
    return new Leases(states.stream().flatMap(state -> rows(state, requested)).toList());
  }

  private static Stream<Row> rows(LedgerState state, List<IncarnationId> requested) {
    Stream<IncarnationId> sources =
        requested.isEmpty()
            ? state.instances().stream().map(InstanceView::incarnation)
            : requested.stream();
    return sources.flatMap(source -> state.leases(source).stream()).map(Row::of);
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
