package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.entry.Entry;
import org.teaseldeal.ledger.outcome.Outcome;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.ledger.state.SubtreeView;
import org.teaseldeal.operator.fleet.InForceWatch;
import org.teaseldeal.operator.fleet.InForceWatch.InForceStatus;
import org.teaseldeal.operator.fleet.InForceWatch.InstanceProgress;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.session.LedgerSession;
import org.teaseldeal.operator.session.LedgerSessions;
import org.teaseldeal.operator.session.Publications;
import org.teaseldeal.operator.session.SubmissionResult;
import org.teaseldeal.settings.SettingsProblem;
import org.teaseldeal.settings.SubtreeId;

/**
 * Publishes a subtree and waits until it is in force at every live instance.
 *
 * <p>A publication names the revision on which its text is based. If another revision has come into
 * force since, the publication is refused and the report names the author of that revision. It is
 * safe to repeat the command after a lost response: if the same text is already in force, nothing
 * is written.
 */
@Parameters(
    commandNames = "publish",
    commandDescription = "Publish a subtree and wait until it is in force at every live instance")
public final class SettingsPublish implements Command {
  /**
   * Well above the time in which a live instance responds, and short compared with the time to wait
   * for all instances.
   */
  private static final Duration PROGRESS_QUERY_TIMEOUT = Duration.ofSeconds(1);

  @Parameter(description = "SUBTREE FILE (SUBTREE is fleet or team/NAME)")
  private List<String> arguments = new ArrayList<>();

  @Parameter(
      names = "--base",
      description =
          "Revision that the file is based on, 0 for none; default: the revision in force at the start")
  private @Nullable Long base;

  @Parameter(
      names = "--wait",
      description = "How long to wait until it is in force at every live instance",
      defaultValueDescription = "30s",
      converter = DurationConverter.class)
  private Duration wait = Duration.ofSeconds(30);

  @ParametersDelegate private final AuthorOption author = new AuthorOption();
  @ParametersDelegate private final AdminOptions admin = new AdminOptions();
  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** The progress of the publication at one instance; {@code foldedTo} is -1 if it is unknown. */
  record InstanceStatus(String instance, String incarnation, long foldedTo, String note) {
    static InstanceStatus of(InstanceProgress instance) {
      return new InstanceStatus(
          instance.instance(),
          instance.incarnation(),
          instance.progress().offset().orElse(-1),
          instance.progress().note());
    }

    String line(long offset) {
      String progress =
          foldedTo < 0 ? "has reported no offset" : "has folded to offset " + foldedTo;
      return "  %s (%s) %s, expected %d%s"
          .formatted(instance, incarnation, progress, offset, note.isEmpty() ? "" : "; it " + note);
    }
  }

  /**
   * The text is in force on the log; the lists say at which instances it is known to be in force.
   */
  record Published(
      String subtree,
      long revision,
      long offset,
      String author,
      boolean writtenNow,
      List<InstanceStatus> inForce,
      List<InstanceStatus> lagging,
      @Nullable String listProblem,
      List<String> warnings)
      implements Report {
    @Override
    public String text() {
      StringBuilder text = new StringBuilder(progress());
      warnings.forEach(warning -> text.append("\nwarning: ").append(warning));
      return text.toString();
    }

    private String progress() {
      String head =
          writtenNow
              ? "%s: revision %d by %s is accepted".formatted(subtree, revision, author)
              : "%s: the same text is already in force, revision %d by %s"
                  .formatted(subtree, revision, author);
      if (listProblem != null) {
        return head + "\nit is unknown at which instances it is in force: " + listProblem;
      }
      if (inForce.isEmpty() && lagging.isEmpty()) {
        return head
            + "\nno instance is live; an instance that starts has it in force before it is ready";
      }
      if (lagging.isEmpty()) {
        return head + "\nin force at all %d live instances".formatted(inForce.size());
      }
      return head
          + "\nin force at %d live instances, not confirmed at %d:\n"
              .formatted(inForce.size(), lagging.size())
          + lagging.stream().map(i -> i.line(offset)).collect(Collectors.joining("\n"));
    }
  }

  /** The publication was refused because another revision had come into force. */
  record Outdated(String subtree, long base, long currentRevision, String winner)
      implements Report {
    @Override
    public String text() {
      return """
          %1$s: refused, nothing was changed: the file is based on revision %2$d, but %3$s has published revision %4$d
          see `settings diff %1$s --from %2$d --to %4$d`, merge, and publish with --base %4$d"""
          .formatted(subtree, base, winner, currentRevision);
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments positional = PositionalArguments.check(arguments, "SUBTREE", "FILE");
    SubtreeId subtree = positional.parse(0, SubtreeId::new);
    return switch (SettingsFile.read(subtree, positional.text(1))) {
      case SettingsFile.Invalid(CommandResult result) -> result;
      case SettingsFile.Valid(String toml) -> {
        LedgerSessions ledgers = context.ledgers(platform);
        yield new PublishRun(context, ledgers.session(subtree), subtree, toml)
            .run(ledgers.session(SubtreeId.FLEET));
      }
    };
  }

  @Override
  public CommonOptions common() {
    return common;
  }

  /** One run of the command. */
  private final class PublishRun {
    private final CommandContext context;
    private final LedgerSession session;
    private final SubtreeId subtree;
    private final String toml;
    private final String authorName;
    private List<String> warnings = List.of();

    PublishRun(CommandContext context, LedgerSession session, SubtreeId subtree, String toml) {
      this.context = context;
      this.session = session;
      this.subtree = subtree;
      this.toml = toml;
      this.authorName = author.author(context.environment());
    }

    CommandResult run(LedgerSession fleet) {
      return LedgerReads.withState(
          fleet,
          state -> {
            warnings = PoolWarnings.of(subtree, toml, state.fleet());
            return LedgerReads.withState(session, this::publish);
          });
    }

    private CommandResult publish(LedgerState state) {
      Optional<SubtreeView> current = state.subtree(subtree);
      if (current.isPresent() && current.get().toml().equals(toml)) {
        return await(current.get().revision(), current.get().author(), false);
      }
      long revision = current.map(SubtreeView::revision).orElse(0L);
      long basedOn = base == null ? revision : base;
      var entry = new Entry.PublishSettings(subtree, basedOn, authorName, toml);
      return switch (session.submit(List.of(entry))) {
        case SubmissionResult.NotWritten(String detail) -> notWritten(detail);
        case SubmissionResult.Unknown(String detail) -> unknown(basedOn, detail);
        case SubmissionResult.ReadBack(List<Outcome> outcomes) ->
            outcome(basedOn, outcomes.getFirst());
      };
    }

    private CommandResult outcome(long basedOn, Outcome outcome) {
      return switch (outcome) {
        case Outcome.SettingsAccepted accepted -> await(accepted.revision(), authorName, true);
        case Outcome.SettingsOutdated outdated ->
            new CommandResult(
                ExitStatus.REFUSED,
                new Outdated(
                    subtree.value(), basedOn, outdated.currentRevision(), outdated.winner()));
        case Outcome.SettingsInvalid(SubtreeId id, List<SettingsProblem> problems) ->
            new CommandResult(
                ExitStatus.REFUSED, new SettingsFile.Problems(subtree.value(), problems));
        default -> LedgerWrites.unexpectedOutcome(outcome);
      };
    }

    private CommandResult await(long revision, String authorOfRevision, boolean writtenNow) {
      long offset = Publications.offsetOf(revision);
      InForceWatch watch =
          new InForceWatch(
              context.platformList(platform),
              context.adminClient(admin, PROGRESS_QUERY_TIMEOUT),
              session,
              context.clock());
      InForceStatus inForce = watch.await(session.stream(), offset, wait);
      Published published =
          new Published(
              subtree.value(),
              revision,
              offset,
              authorOfRevision,
              writtenNow,
              inForce.inForce().stream().map(InstanceStatus::of).toList(),
              inForce.lagging().stream().map(InstanceStatus::of).toList(),
              inForce.listProblem().orElse(null),
              warnings);
      return new CommandResult(
          inForce.everywhere() ? ExitStatus.OK : ExitStatus.INCOMPLETE, published);
    }

    private CommandResult notWritten(String detail) {
      return CommandResult.failed(
          ExitStatus.UNREACHABLE, "%s: nothing was published: %s".formatted(subtree, detail));
    }

    private CommandResult unknown(long basedOn, String detail) {
      return CommandResult.failed(
          ExitStatus.UNREACHABLE,
          """
          %s: it is unknown whether it was published or will still be published: %s
          publish the same file again with --base %d: it takes effect only once"""
              .formatted(subtree, detail, basedOn));
    }
  }
}
