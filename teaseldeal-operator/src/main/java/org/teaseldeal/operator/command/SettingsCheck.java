package org.teaseldeal.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.settings.SubtreeId;

/** Validates a settings file without any network access. */
@Parameters(
    commandNames = "check",
    commandDescription = "Check a settings file by the rules that every instance applies")
public final class SettingsCheck implements Command {
  @Parameter(description = "SUBTREE FILE (SUBTREE is fleet or team/NAME)")
  private List<String> arguments = new ArrayList<>();

  @ParametersDelegate private final CommonOptions common = new CommonOptions();

  /** The file contains a valid subtree. */
  record Checked(String subtree, String file) implements Report {
    @Override
    public String text() {
      return "%s: valid for %s".formatted(file, subtree);
    }
  }

  @Override
  public CommandResult run(CommandContext context) {
    PositionalArguments positional = PositionalArguments.check(arguments, "SUBTREE", "FILE");
    SubtreeId subtree = positional.parse(0, SubtreeId::new);
    return switch (SettingsFile.read(subtree, positional.text(1))) {
      case SettingsFile.Valid valid ->
          CommandResult.ok(new Checked(subtree.value(), positional.text(1)));
      case SettingsFile.Invalid(CommandResult result) -> result;
    };
  }

  @Override
  public CommonOptions common() {
    return common;
  }
}
