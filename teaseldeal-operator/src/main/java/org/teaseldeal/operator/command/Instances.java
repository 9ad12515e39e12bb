package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.state.InstanceView;
import org.teaseldeal.ledger.state.LeaseView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.operator.fleet.ListedInstance;
import org.teaseldeal.operator.fleet.PlatformList.Listing;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.report.TextTable;
import org.teaseldeal.operator.session.LedgerSessions;

/** Lists the instances that the platform lists or the ledger knows. */
@Parameters(
    commandNames = "instances",
    commandDescription = "List the instances that the platform lists or the ledger knows")
public final class Instances implements Command {
  @Parameter(description = "(no arguments)")
  private List<String> arguments = new ArrayList<>();

  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /**
   * One incarnation of an instance.
   *
   * @param listed {@code live} or {@code leaving} if the platform lists it, otherwise {@code no}
   * @param joined whether it joined the ledger and has neither left nor been retired
   */
  record Row(
      String instance,
      String incarnation,
      String dataCentre,
      String listed,
      boolean joined,
      long heldTokens,
      @Nullable String lastRecordAt,
      @Nullable String adminAddress) {
    /** Returns a hint to the operator on the state of the incarnation; empty if there is none. */
    String advice() {
      if (!joined) {
        return "has not joined yet";
      }
      return listed.equals("no") ? "if it is gone, use `lease release`" : "";
    }
  }

  /** All incarnations; those on the platform's list come first. */
  record Fleet(List<Row> instances) implements Report {
    @Override
    public String text() {
      TextTable table =
          new TextTable(
              "INSTANCE",
              "INCARNATION",
              "DATA CENTRE",
              "LISTED",
              "JOINED",
              "HELD",
              "LAST RECORD",
              "");
      instances.forEach(
          row ->
              table.addRow(
                  row.instance(),
                  row.incarnation(),
                  row.dataCentre(),
                  row.listed(),
                  row.joined() ? "yes" : "no",
                  row.heldTokens(),
                  row.lastRecordAt() == null ? "-" : row.lastRecordAt(),
                  row.advice()));
      return table.toString();
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments.check(arguments);
    return switch (context.platformList(platform).read()) {
      case Listing.Unreachable(String detail) ->
          CommandResult.failed(ExitStatus.UNREACHABLE, detail);
      case Listing.Found(List<ListedInstance> listed) -> {
        LedgerSessions ledgers = context.ledgers(platform);
        yield LedgerReads.withAllStates(ledgers, states -> CommandResult.ok(fleet(listed, states)));
      }
    };
  }

  private static Fleet fleet(List<ListedInstance> listed, List<LedgerState> states) {
    Map<IncarnationId, InstanceView> joined = new LinkedHashMap<>();
    for (LedgerState state : states) {
      state.instances().forEach(view -> joined.putIfAbsent(view.incarnation(), view));
    }
    List<Row> rows = new ArrayList<>();
    for (ListedInstance instance : listed) {
      rows.add(listed(instance, joined.remove(instance.incarnation()), states));
    }
    joined.values().forEach(view -> rows.add(unlisted(view, states)));
    return new Fleet(rows);
  }

  private static Row listed(
      ListedInstance instance, @Nullable InstanceView view, List<LedgerState> states) {
    return new Row(
        instance.instance().name(),
        instance.incarnation().value(),
        instance.dataCentre().name(),
        instance.leaving() ? "leaving" : "live",
        view != null,
        held(states, instance.incarnation()),
        view == null ? null : view.lastRecordAt().toString(),
        instance.adminAddress().orElse(null));
  }

  private static Row unlisted(InstanceView view, List<LedgerState> states) {
    return new Row(
        view.instance().name(),
        view.incarnation().value(),
        view.dataCentre().name(),
        "no",
        true,
        held(states, view.incarnation()),
        view.lastRecordAt().toString(),
        null);
  }

  private static long held(List<LedgerState> states, IncarnationId incarnation) {
    return states.stream()
        .flatMap(state -> state.leases(incarnation).stream())
        .mapToLong(LeaseView::tokens)
        .sum();
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
