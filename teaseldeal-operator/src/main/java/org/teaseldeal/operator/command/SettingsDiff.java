package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.ledger.state.LedgerState;
import org.teaseldeal.ledger.state.SubtreeView;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.LineDiff;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.operator.session.LedgerSession;
import org.teaseldeal.operator.session.LedgerSessions;
import org.teaseldeal.operator.session.Publications;
import org.teaseldeal.operator.session.Publications.Publication;
import org.teaseldeal.settings.SubtreeId;

/** Compares a revision of a subtree with a file or another revision. */
@Parameters(
    commandNames = "diff",
    commandDescription = "Compare a revision with a file or with another revision")
public final class SettingsDiff implements Command {
  @Parameter(description = "SUBTREE [FILE]")
  private List<String> arguments = new ArrayList<>();

  @Parameter(
      names = "--from",
      description = "The older revision, 0 for none; default: the revision in force")
  private @Nullable Long from;

  @Parameter(names = "--to", description = "The newer revision, if no file is given")
  private @Nullable Long to;

  @ParametersDelegate private final PlatformOptions platform = new PlatformOptions();
  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** The lines of both texts, marked as common, removed or added; empty if the texts are equal. */
  record Difference(String subtree, String from, String to, List<String> lines) implements Report {
    @Override
    public String text() {
      return lines.isEmpty()
          ? "%s: no difference between %s and %s".formatted(subtree, from, to)
          : "--- %s %s\n+++ %s %s\n%s"
              .formatted(subtree, from, subtree, to, String.join("\n", lines));
    }
  }

  /**
   * One of the two texts compared, with the name of its source; {@code toml} is empty if the log
   * does not have the revision.
   */
  private record DiffSide(String name, Optional<String> toml) {}

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments positional = PositionalArguments.check(arguments, "SUBTREE", "[FILE]");
    SubtreeId subtree = positional.parse(0, SubtreeId::new);
    Optional<DiffSide> file = Optional.empty();
    if (positional.has(1)) {
      try {
        file =
            Optional.of(
                new DiffSide(
                    positional.text(1),
                    Optional.of(Files.readString(Path.of(positional.text(1))))));
      } catch (IOException e) {
        return CommandResult.failed(
            ExitStatus.WRONG_FILE, "%s can't be read as UTF-8 text".formatted(positional.text(1)));
      }
    }
    LedgerSessions ledgers = context.ledgers(platform);
    return compare(ledgers.session(subtree), subtree, file);
  }

  private CommandResult compare(LedgerSession session, SubtreeId subtree, Optional<DiffSide> file) {
    return LedgerReads.withState(
        session,
        state ->
            LedgerReads.withPublications(
                session, subtree, publications -> compare(state, publications, subtree, file)));
  }

  private CommandResult compare(
      LedgerState state, Publications publications, SubtreeId subtree, Optional<DiffSide> file) {
    Optional<SubtreeView> current = state.subtree(subtree);
    List<Publication> accepted =
        publications.acceptedUpTo(current.map(SubtreeView::revision).orElse(0L));
    DiffSide before = side(from, current, accepted);
    DiffSide after = file.orElseGet(() -> side(to, current, accepted));
    for (DiffSide side : List.of(before, after)) {
      if (side.toml().isEmpty()) {
        return CommandResult.failed(
            ExitStatus.REFUSED,
            "%s: %s isn't on the log; see `settings history %s`"
                .formatted(subtree, side.name(), subtree));
      }
    }
    List<String> lines = LineDiff.between(before.toml().orElseThrow(), after.toml().orElseThrow());
    return CommandResult.ok(new Difference(subtree.value(), before.name(), after.name(), lines));
  }

  private static DiffSide side(
      @Nullable Long revision, Optional<SubtreeView> current, List<Publication> accepted) {
    long number = revision == null ? current.map(SubtreeView::revision).orElse(0L) : revision;
    String name = "revision " + number;
    if (number == 0) {
      return new DiffSide(name, Optional.of(""));
    }
    if (current.isPresent() && current.get().revision() == number) {
      return new DiffSide(name, Optional.of(current.get().toml()));
    }
    return new DiffSide(
        name,
        accepted.stream().filter(p -> p.revision() == number).map(Publication::toml).findFirst());
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
