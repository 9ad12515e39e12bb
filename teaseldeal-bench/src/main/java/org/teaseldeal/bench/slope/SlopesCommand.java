package org.teaseldeal.bench.slope;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;

/**
 * Measures how the costs of the ledger and of an instance grow, in this process, in virtual time
 * and without a network. With launchers, the command also measures idle router processes.
 *
 * <p>Times are the processor times of one thread. The lowest of several repetitions counts, because
 * other work on the host can only increase a measurement.
 */
@Parameters(commandDescription = "Measure how an instance's cost grows with state and load")
public final class SlopesCommand extends Command {
  /** The heap differences of smaller states are lost in measurement noise. */
  private static final int MIN_BUDGETS = 1_000;

  private static final int MAX_BUDGETS = 1_000_000;

  @Parameter(names = "--budgets", description = "Budgets of the largest state")
  private int budgets = 370_000;

  @Parameter(
      names = "--launchers",
      description = "Folder of the programs' launchers; with it, idle routers are measured too")
  private @Nullable Path launchers;

  @Parameter(names = "--out", description = "File for the result as JSON")
  private @Nullable Path out;

  @Override
  protected ExitStatus run(PrintStream console, PrintStream err) throws CommandException {
    if (budgets < MIN_BUDGETS || budgets > MAX_BUDGETS) {
      throw new CommandException(
          ExitStatus.WRONG_COMMAND_LINE,
          "--budgets was %d, expected %d to %d".formatted(budgets, MIN_BUDGETS, MAX_BUDGETS));
    }
    List<Slope> slopes = new ArrayList<>(new LedgerSlopes(budgets).measure());
    slopes.addAll(new InstanceSlopes().measure());
    if (launchers != null) {
      slopes.addAll(processes(launchers));
    }
    print(slopes, console);
    if (out != null) {
      write(out, slopes);
    }
    return ExitStatus.OK;
  }

  private static List<Slope> processes(Path launchers) throws CommandException {
    try {
      return new ProcessSlopes(launchers).measure();
    } catch (IOException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, String.valueOf(e.getMessage()));
    }
  }

  private static void print(List<Slope> slopes, PrintStream console) {
    console.printf(
        Locale.ROOT,
        "%-36s %-34s %14s %14s %14s %14s%n",
        "figure",
        "per",
        "slope",
        "least",
        "most",
        "at 0");
    for (Slope slope : slopes) {
      console.printf(
          Locale.ROOT,
          "%-36s %-34s %14.4f %14.4f %14.4f %14.4f%n",
          slope.figure(),
          slope.per(),
          slope.slope(),
          slope.least(),
          slope.most(),
          slope.intercept());
    }
  }

  private static void write(Path file, List<Slope> slopes) throws CommandException {
    try {
      new ObjectMapper()
          .enable(SerializationFeature.INDENT_OUTPUT)
          .writeValue(file.toFile(), slopes);
    } catch (IOException e) {
      throw new CommandException(ExitStatus.WRONG_FILE, "could not write " + file + ": " + e);
    }
  }
}
