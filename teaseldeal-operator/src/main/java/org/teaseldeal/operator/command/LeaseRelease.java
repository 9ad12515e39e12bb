package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.teaseldeal.api.IncarnationId;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.LeaseView;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.operator.fleet.ListedInstance;
import org.teaseldeal.operator.fleet.PlatformList.Listing;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.session.LedgerSession;
import org.teaseldeal.operator.session.LedgerSessions;
import org.teaseldeal.operator.session.SubmissionResult;

/**
 * Retires an incarnation that is gone and writes off the tokens that remain under its leases.
 *
 * <p>The ledger stays correct even if the incarnation is still running: its records are ignored
 * from then on, and the tokens that it spends are already counted as spent. But its charges no
 * longer reach the ledger, so the command refuses while the platform still lists the incarnation,
 * and requires the operator's confirmation.
 */
@Parameters(
    commandNames = "release",
    commandDescription = "Retire an incarnation that is gone and write off the tokens that it held")
public final class LeaseRelease implements Command {
  private static final String WRITE_OFF_REASON =
      "The incarnation may have spent them without recording it, which can't be determined: if they"
          + " were returned, they could be spent twice. They are counted as spent; to grant them"
          + " again, use `budget top-up`.";

  @Parameter(description = "INCARNATION")
  private List<String> arguments = new ArrayList<>();

  @Parameter(
      names = "--confirm-gone",
      description = "Confirms that the incarnation is gone for good, as checked with the platform")
  private boolean confirmed;

  @ParametersDelegate private final AuthorOption author = new AuthorOption();
  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** The incarnation is retired, and its tokens are written off. */
  record Released(String incarnation, long writtenOff, boolean endedBefore) implements Report {
    @Override
    public String text() {
      return endedBefore
          ? "%s: had already left or been retired, nothing was changed".formatted(incarnation)
          : "%s: retired, %d tokens written off.\n%s"
              .formatted(incarnation, writtenOff, WRITE_OFF_REASON);
    }
  }

  /** The operator has not confirmed the release; {@code tokens} would be written off. */
  record Unconfirmed(String incarnation, long tokens) implements Report {
    @Override
    public String text() {
      return """
          %s: nothing was changed. %d tokens would be written off.
          %s
          Check with the platform that this incarnation is gone, then add --confirm-gone."""
          .formatted(incarnation, tokens, WRITE_OFF_REASON);
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    IncarnationId incarnation =
        PositionalArguments.check(arguments, "INCARNATION").parse(0, IncarnationId::new);
    String authorName = author.author(context.environment());
    Optional<CommandResult> listed = refuseIfListed(context, incarnation);
    if (listed.isPresent()) {
      return listed.get();
    }
    LedgerSessions ledgers = context.ledgers(platform);
    return LedgerReads.withAllStates(
        ledgers, states -> release(ledgers, states, incarnation, authorName));
  }

  private Optional<CommandResult> refuseIfListed(
      CommandContext context, IncarnationId incarnation) {
    return switch (context.platformList(platform).read()) {
      case Listing.Unreachable(String detail) ->
          Optional.of(
              CommandResult.failed(
                  ExitStatus.UNREACHABLE,
                  "%s: nothing was changed: can't determine whether it is gone: %s"
                      .formatted(incarnation, detail)));
      case Listing.Found(List<ListedInstance> instances) ->
          instances.stream()
              .filter(instance -> instance.incarnation().equals(incarnation))
              .findFirst()
              .map(instance -> stillListed(instance));
    };
  }

  private static CommandResult stillListed(ListedInstance instance) {
    return CommandResult.failed(
        ExitStatus.REFUSED,
        "%s: nothing was changed: the platform still lists it as instance %s; the list lags, so try"
                .formatted(instance.incarnation(), instance.instance())
            + " again once it is no longer listed");
  }

  private CommandResult release(
      LedgerSessions ledgers,
      List<LedgerState> states,
      IncarnationId incarnation,
      String authorName) {
    if (states.stream().allMatch(state -> state.ended(incarnation))) {
      return CommandResult.ok(new Released(incarnation.value(), 0, true));
    }
    if (states.stream().noneMatch(state -> isKnown(state, incarnation))) {
      return CommandResult.failed(
          ExitStatus.REFUSED,
          "%s: the ledger knows no such incarnation; see `instances`".formatted(incarnation));
    }
    if (!confirmed) {
      return new CommandResult(
          ExitStatus.REFUSED, new Unconfirmed(incarnation.value(), held(states, incarnation)));
    }
    return retire(ledgers, incarnation, authorName);
  }

  private static CommandResult retire(
      LedgerSessions ledgers, IncarnationId incarnation, String authorName) {
    long writtenOff = 0;
    for (LedgerSession session : ledgers.all()) {
      switch (session.submit(List.of(new Entry.Retire(incarnation, authorName)))) {
        case SubmissionResult.ReadBack(List<Outcome> outcomes) -> {
          if (!(outcomes.getFirst() instanceof Outcome.Retired retired)) {
            return LedgerWrites.unexpectedOutcome(outcomes.getFirst());
          }
          writtenOff += retired.writtenOff();
        }
        case SubmissionResult.NotWritten(String detail) -> {
          return unknownOutcome(incarnation, detail);
        }
        case SubmissionResult.Unknown(String detail) -> {
          return unknownOutcome(incarnation, detail);
        }
      }
    }
    return CommandResult.ok(new Released(incarnation.value(), writtenOff, false));
  }

  private static CommandResult unknownOutcome(IncarnationId incarnation, String detail) {
    return CommandResult.failed(
        ExitStatus.UNREACHABLE,
        "%s: it is unknown whether it was retired: %s\nrepeat the command: it takes effect only once"
            .formatted(incarnation, detail));
  }

  private static boolean isKnown(LedgerState state, IncarnationId incarnation) {
    return state.lastSequence(incarnation) > 0 || !state.leases(incarnation).isEmpty();
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
