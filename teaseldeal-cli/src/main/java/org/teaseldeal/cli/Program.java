package org.teaseldeal.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.EnumSet;
import java.util.Map;
import java.util.Properties;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * A command-line program that has either several named commands or a single one.
 *
 * <p>It parses the command line, prints the help text or the version, and runs the command.
 */
public final class Program {
  private static final class HelpOption {
    @Parameter(names = "--help", help = true, description = "Show this text")
    private boolean requested;
  }

  private static final class VersionOption {
    @Parameter(names = "--version", help = true, description = "Show the version")
    private boolean requested;
  }

  private final String name;
  private final Set<ExitStatus> statuses;
  private final HelpOption help = new HelpOption();
  private final VersionOption version = new VersionOption();
  private final Map<String, Command> commands;
  private final @Nullable Command singleCommand;
  private final JCommander parser;

  /**
   * Creates a program with several commands.
   *
   * @param name the name of the program, as it is printed in messages
   * @param commands the commands by name
   * @param statuses the exit statuses of the commands; the help text also lists {@link
   *     ExitStatus#OK} and {@link ExitStatus#WRONG_COMMAND_LINE}
   */
  public Program(String name, Map<String, Command> commands, Set<ExitStatus> statuses) {
    this.name = name;
    this.commands = new TreeMap<>(commands);
    this.singleCommand = null;
    this.statuses = withCommonStatuses(statuses);
    parser = JCommander.newBuilder().programName(name).addObject(help).addObject(version).build();
    this.commands.forEach(parser::addCommand);
  }

  /**
   * Creates a program that consists of a single command, whose options are those of the program.
   *
   * @param name the name of the program, as it is printed in messages
   * @param singleCommand the command
   * @param statuses the exit statuses of the command; the help text also lists {@link
   *     ExitStatus#OK} and {@link ExitStatus#WRONG_COMMAND_LINE}
   */
  public Program(String name, Command singleCommand, Set<ExitStatus> statuses) {
    this.name = name;
    this.commands = Map.of();
    this.singleCommand = singleCommand;
    this.statuses = withCommonStatuses(statuses);
    parser =
        JCommander.newBuilder()
            .programName(name)
            .addObject(singleCommand)
            .addObject(version)
            .build();
  }

  private static Set<ExitStatus> withCommonStatuses(Set<ExitStatus> statuses) {
    Set<ExitStatus> all = EnumSet.copyOf(statuses);
    all.add(ExitStatus.OK);
    all.add(ExitStatus.WRONG_COMMAND_LINE);
    return all;
  }

  /** Parses {@code args} and runs the command that they name; errors are printed to {@code err}. */
  public ExitStatus run(PrintStream out, PrintStream err, String... args) {
    try {
      parser.parse(args);
    } catch (ParameterException e) {
      return usageError(err, String.valueOf(e.getMessage()));
    }
    if (version.requested) {
      out.println(name + " " + version());
      return ExitStatus.OK;
    }
    String parsed = parser.getParsedCommand();
    Command command = parsed == null ? singleCommand : commands.get(parsed);
    if (help.requested || (command != null && command.isHelpRequested())) {
      printHelp(out, parsed);
      return ExitStatus.OK;
    }
    if (command == null) {
      return usageError(
          err, "no command given, expected one of " + String.join(", ", commands.keySet()));
    }
    return run(command, out, err);
  }

  private ExitStatus run(Command command, PrintStream out, PrintStream err) {
    try {
      return command.run(out, err);
    } catch (CommandException e) {
      err.println(name + ": " + e.getMessage());
      return e.status();
    }
  }

  private ExitStatus usageError(PrintStream err, String message) {
    err.println(name + ": " + message);
    err.println("Try: " + name + " --help");
    return ExitStatus.WRONG_COMMAND_LINE;
  }

  private void printHelp(PrintStream out, @Nullable String command) {
    StringBuilder usage = new StringBuilder();
    if (command == null) {
      parser.getUsageFormatter().usage(usage);
    } else {
      parser.getUsageFormatter().usage(command, usage);
    }
    out.print(usage);
    out.println("Exit status:");
    statuses.forEach(status -> out.println("  " + status.code() + "  " + status.meaning()));
  }

  /** Returns the version of the programs, or {@code unknown} if the build did not record one. */
  public static String version() {
    try (InputStream in = Program.class.getResourceAsStream("/teaseldeal-version.properties")) {
      Properties properties = new Properties();
      if (in != null) {
        properties.load(in);
      }
      return properties.getProperty("version", "unknown");
    } catch (IOException e) {
      return "unknown";
    }
  }
}
