package org.teaseldeal.operator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.UnixStyleUsageFormatter;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.cli.Program;
import org.teaseldeal.operator.command.BudgetCreate;
import org.teaseldeal.operator.command.BudgetShow;
import org.teaseldeal.operator.command.BudgetTopUp;
import org.teaseldeal.operator.command.Command;
import org.teaseldeal.operator.command.Drain;
import org.teaseldeal.operator.command.Dump;
import org.teaseldeal.operator.command.Explain;
import org.teaseldeal.operator.command.Instances;
import org.teaseldeal.operator.command.LeaseRelease;
import org.teaseldeal.operator.command.LeaseShow;
import org.teaseldeal.operator.command.Losses;
import org.teaseldeal.operator.command.SettingsCheck;
import org.teaseldeal.operator.command.SettingsDiff;
import org.teaseldeal.operator.command.SettingsHistory;
import org.teaseldeal.operator.command.SettingsPublish;
import org.teaseldeal.operator.command.SettingsShow;

/** Parses a command line into the command that it names, with its options filled in. */
final class CommandLine {
  static final String PROGRAM = "teaseldeal-operator";

  private static final int HELP_WIDTH_COLUMNS = 100;

  private final Map<String, Command> commands = new LinkedHashMap<>();

  /** The result of parsing a command line. */
  sealed interface ParseResult {
    /** The command line names a command, which is to be run. */
    record RunCommand(String name, Command command) implements ParseResult {}

    /** The command line asks for a text to be printed, such as the help. */
    record PrintText(String text) implements ParseResult {}

    /** The command line is invalid; {@code message} says why. */
    record Invalid(String message) implements ParseResult {}
  }

  /** The options that are valid without a command. */
  private static final class ProgramOptions {
    @Parameter(names = "--help", description = "Print this help", help = true)
    private boolean help;

    @Parameter(names = "--version", description = "Print the version", help = true)
    private boolean version;
  }

  CommandLine() {
    commands.put("settings check", new SettingsCheck());
    commands.put("settings publish", new SettingsPublish());
    commands.put("settings show", new SettingsShow());
    commands.put("settings history", new SettingsHistory());
    commands.put("settings diff", new SettingsDiff());
    commands.put("budget create", new BudgetCreate());
    commands.put("budget top-up", new BudgetTopUp());
    commands.put("budget show", new BudgetShow());
    commands.put("lease show", new LeaseShow());
    commands.put("lease release", new LeaseRelease());
    commands.put("instances", new Instances());
    commands.put("dump", new Dump());
    commands.put("drain", new Drain());
    commands.put("explain", new Explain());
    commands.put("losses", new Losses());
  }

  ParseResult parse(String... arguments) {
    for (Map.Entry<String, Command> entry : commands.entrySet()) {
      List<String> words = List.of(entry.getKey().split(" "));
      if (startsWith(arguments, words)) {
        String[] remaining = Arrays.copyOfRange(arguments, words.size(), arguments.length);
        return parseCommand(entry.getKey(), entry.getValue(), remaining);
      }
    }
    return parseProgram(arguments);
  }

  private static boolean startsWith(String[] arguments, List<String> words) {
    return arguments.length >= words.size()
        && Arrays.asList(arguments).subList(0, words.size()).equals(words);
  }

  private static ParseResult parseCommand(String name, Command command, String... remaining) {
    JCommander parser = parser(PROGRAM + " " + name, command);
    try {
      parser.parse(remaining);
    } catch (ParameterException e) {
      return new ParseResult.Invalid(errorMessage(e, name));
    }
    return command.common().help()
        ? new ParseResult.PrintText(usage(parser, command))
        : new ParseResult.RunCommand(name, command);
  }

  static String errorMessage(ParameterException e, String name) {
    return "%s: %s\nsee %s%s --help"
        .formatted(PROGRAM, e.getMessage(), PROGRAM, name.isEmpty() ? "" : " " + name);
  }

  private ParseResult parseProgram(String... arguments) {
    ProgramOptions options = new ProgramOptions();
    List<String> unknown = new ArrayList<>();
    JCommander parser = parser(PROGRAM, options);
    parser.setAcceptUnknownOptions(true);
    try {
      parser.parse(arguments);
      unknown.addAll(parser.getUnknownOptions());
    } catch (ParameterException e) {
      return new ParseResult.Invalid(errorMessage(e, ""));
    }
    if (options.help) {
      return new ParseResult.PrintText(programHelp());
    }
    if (options.version) {
      return new ParseResult.PrintText(PROGRAM + " " + Program.version());
    }
    String actual = unknown.isEmpty() ? "missing" : "'%s'".formatted(String.join(" ", unknown));
    return new ParseResult.Invalid(
        errorMessage(
            new ParameterException(
                "command was %s, expected one of: %s"
                    .formatted(actual, String.join(", ", commands.keySet()))),
            ""));
  }

  private static JCommander parser(String name, Object options) {
    JCommander parser = new JCommander(options);
    parser.setProgramName(name);
    parser.setColumnSize(HELP_WIDTH_COLUMNS);
    parser.setExpandAtSign(false);
    parser.setUsageFormatter(new UnixStyleUsageFormatter(parser));
    return parser;
  }

  private static String usage(JCommander parser, Command command) {
    StringBuilder usage = new StringBuilder(description(command)).append(".\n\n");
    parser.getUsageFormatter().usage(usage);
    return usage.toString().stripTrailing();
  }

  private String programHelp() {
    int width = commands.keySet().stream().mapToInt(String::length).max().orElseThrow();
    String list =
        commands.entrySet().stream()
            .map(e -> "  %s  %s".formatted(padRight(e.getKey(), width), description(e.getValue())))
            .collect(Collectors.joining("\n"));
    String codes =
        Arrays.stream(ExitStatus.values())
            .map(status -> "  %d  %s".formatted(status.code(), status.meaning()))
            .collect(Collectors.joining("\n"));
    return """
    Usage: %1$s COMMAND [OPTIONS] [ARGUMENTS]
           %1$s COMMAND --help
           %1$s --help | --version

    Commands:
    %2$s

    Exit status:
    %3$s"""
        .formatted(PROGRAM, list, codes);
  }

  private static String padRight(String text, int width) {
    return text + " ".repeat(width - text.length());
  }

  private static String description(Command command) {
    Parameters parameters = command.getClass().getAnnotation(Parameters.class);
    return parameters == null ? "" : parameters.commandDescription();
  }
}
