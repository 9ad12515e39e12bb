package org.teaseldeal.router;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.router.settings.RouterSettings;
import org.teaseldeal.router.settings.RouterSettingsFile;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.SettingsProblem;

/** Reads the settings file and starts a router, which keeps running on its own threads. */
final class RouterCommand extends Command {
  @Parameter(names = "--settings", description = "Path of the TOML settings file")
  private @Nullable String settings;

  @Parameter(names = "--check", description = "Check the settings file and exit")
  private boolean check;

  @Override
  protected ExitStatus run(PrintStream out, PrintStream err) throws CommandException {
    String file = settings;
    if (file == null) {
      throw new CommandException(
          ExitStatus.WRONG_COMMAND_LINE, "--settings is missing, expected a file");
    }
    RouterSettings valid =
        switch (RouterSettingsFile.parse(read(file))) {
          case Parsed.Valid<RouterSettings>(RouterSettings read) -> read;
          case Parsed.Invalid<RouterSettings>(List<SettingsProblem> problems) ->
              throw new CommandException(ExitStatus.WRONG_FILE, describe(file, problems));
        };
    if (check) {
      out.println(file + ": ok");
      return ExitStatus.OK;
    }
    try {
      RouterProcess.start(valid, out);
      return ExitStatus.OK;
    } catch (IOException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, String.valueOf(e.getMessage()));
    }
  }

  private static String read(String file) throws CommandException {
    try {
      return Files.readString(Path.of(file));
    } catch (IOException e) {
      throw new CommandException(
          ExitStatus.WRONG_FILE, "%s: cannot be read: %s".formatted(file, e));
    }
  }

  private static String describe(String file, List<SettingsProblem> problems) {
    return problems.stream()
        .map(problem -> "%s: %s".formatted(file, problem))
        .collect(Collectors.joining("\n"));
  }
}
