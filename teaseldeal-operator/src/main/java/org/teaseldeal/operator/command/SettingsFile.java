package org.teaseldeal.operator.command;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.operator.report.CommandResult;
import org.teaseldeal.operator.report.Report;
import org.teaseldeal.settings.SettingsParser;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.SettingsProblem;
import org.teaseldeal.settings.SubtreeId;

/**
 * The text of a subtree from a file, validated by the rules that every reader of the log applies.
 */
sealed interface SettingsFile {
  /** A valid text, which may be published. */
  record Valid(String toml) implements SettingsFile {}

  /** The file is invalid or can't be read; {@code result} is the result of the command. */
  record Invalid(CommandResult result) implements SettingsFile {}

  /** The problems of an invalid file. */
  record Problems(String file, List<SettingsProblem> problems) implements Report {
    public Problems {
      problems = List.copyOf(problems);
    }

    @Override
    public String text() {
      return problems.stream()
          .map(problem -> file + ": " + problem)
          .collect(Collectors.joining("\n"));
    }
  }

  static SettingsFile read(SubtreeId subtree, String file) {
    String toml;
    try {
      toml = Files.readString(Path.of(file), StandardCharsets.UTF_8);
    } catch (IOException | IllegalArgumentException e) {
      return new Invalid(
          CommandResult.failed(
              ExitStatus.WRONG_FILE,
              "%s can't be read as UTF-8 text (%s)".formatted(file, e.getClass().getSimpleName())));
    }
    Parsed<?> parsed =
        subtree.isFleet()
            ? SettingsParser.parseFleet(toml)
            : SettingsParser.parseTeam(subtree, toml);
    return switch (parsed) {
      case Parsed.Valid<?> valid -> new Valid(toml);
      case Parsed.Invalid<?>(List<SettingsProblem> problems) ->
          new Invalid(new CommandResult(ExitStatus.WRONG_FILE, new Problems(file, problems)));
    };
  }
}
