package org.teaseldeal.model;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Collectors;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.settings.SettingsParser.Parsed;

/** Reads the scenario files that a command line names. */
final class ScenarioFiles {
  private ScenarioFiles() {}

  static Scenario read(Path file) throws CommandException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException e) {
      throw new CommandException(
          ExitStatus.WRONG_FILE, "scenario '%s' can't be read: %s".formatted(file, e.getMessage()));
    }
    return switch (ScenarioParser.parse(text)) {
      case Parsed.Valid<Scenario> valid -> valid.settings();
      case Parsed.Invalid<Scenario> invalid ->
          throw new CommandException(
              ExitStatus.WRONG_FILE,
              invalid.problems().stream()
                  .map(problem -> "%s: %s".formatted(file, problem))
                  .collect(Collectors.joining("\n")));
    };
  }
}
