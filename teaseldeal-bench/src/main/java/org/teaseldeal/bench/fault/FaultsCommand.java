package org.teaseldeal.bench.fault;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.UnaryOperator;
import java.util.stream.LongStream;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;

/** Executes a fault plan for each seed and checks every promise against its history. */
@Parameters(commandDescription = "Simulate faults in virtual time and check every promise")
public final class FaultsCommand extends Command {
  private static final int BATCH_SIZE = 64;

  @Parameter(names = "--seed", description = "The first seed")
  private long seed = 1;

  @Parameter(names = "--seeds", description = "Number of seeds to run")
  private long seeds = 1;

  @Parameter(
      names = "--fault",
      description = "Faults to draw from, separated by commas; all if not given")
  private List<String> faults = new ArrayList<>();

  @Parameter(
      names = "--deployment",
      description = "Deployment whose lease policy is used: aarhus or association")
  private String deployment = "aarhus";

  @Parameter(names = "--history", description = "File for the history of the last seed")
  private @Nullable Path history;

  @Parameter(names = "--quiet", description = "Print no line per seed unless a promise is broken")
  private boolean quiet;

  private final Coverage coverage = new Coverage();
  private final Map<String, Long> refused = new TreeMap<>();
  private long requests;
  private long complete;
  private long falseRefusals;
  private long stranded;
  private long appends;
  private long failures;

  @Override
  protected ExitStatus run(PrintStream out, PrintStream err) throws CommandException {
    Set<FaultKind> kinds = kinds();
    Deployment chosen = chosenDeployment();
    for (long from = seed; from < seed + seeds; from += BATCH_SIZE) {
      long to = Math.min(from + BATCH_SIZE, seed + seeds);
      // Runs share no state, so a batch of seeds is executed in parallel. Results are reported in
      // the order of the seeds.
      List<FaultRun.Result> results =
          LongStream.range(from, to)
              .parallel()
              .mapToObj(each -> execute(FaultPlan.draw(each, chosen, kinds)))
              .toList();
      for (FaultRun.Result result : results) {
        report(result, out);
      }
    }
    printTotals(out);
    return failures == 0 ? ExitStatus.OK : ExitStatus.REFUSED;
  }

  private static FaultRun.Result execute(FaultPlan plan) {
    return FaultRun.execute(plan, UnaryOperator.identity());
  }

  private void report(FaultRun.Result result, PrintStream out) throws CommandException {
    List<String> violations = Promise.allViolations(result.history());
    FaultSummary summary = FaultSummary.of(result);
    add(summary, result.history());
    if (!quiet || !violations.isEmpty()) {
      out.printf(
          "seed %d %s: %d requests, %d whole, refused %s, %d falsely,"
              + " overspend %d, stranded %d, %d appends%n",
          result.plan().seed(),
          violations.isEmpty() ? "holds" : "BROKEN",
          summary.requests(),
          summary.complete(),
          summary.refused(),
          summary.falseRefusals(),
          summary.overspend(),
          summary.stranded(),
          summary.appends());
    }
    if (!violations.isEmpty()) {
      failures++;
      explain(result, violations, out);
    }
    write(result.history());
  }

  private void explain(FaultRun.Result result, List<String> violations, PrintStream out) {
    violations.forEach(each -> out.println("  " + each));
    FaultPlan shortest =
        new Shrinker(plan -> !Promise.allViolations(execute(plan).history()).isEmpty())
            .shrink(result.plan());
    out.println("  shortest plan found:");
    shortest.faults().forEach(each -> out.println("    " + each));
    shortest.calls().forEach(each -> out.println("    " + each));
    Promise.allViolations(execute(shortest).history()).forEach(each -> out.println("    " + each));
    out.printf(
        "  again: bin/teaseldeal-bench faults --seed %d --deployment %s%s%n",
        result.plan().seed(),
        result.plan().deployment().name().toLowerCase(Locale.ROOT),
        faults.isEmpty() ? "" : " --fault " + String.join(",", faults));
  }

  private void add(FaultSummary summary, History runHistory) {
    coverage.add(runHistory);
    requests += summary.requests();
    complete += summary.complete();
    summary.refused().forEach((cause, count) -> refused.merge(cause, (long) count, Long::sum));
    falseRefusals += summary.falseRefusals();
    stranded += summary.stranded();
    appends += summary.appends();
  }

  private void printTotals(PrintStream out) {
    out.printf(
        "%d seeds, %d broken: %d requests, %d whole, refused %s%n",
        seeds, failures, requests, complete, refused);
    out.printf(
        Locale.ROOT,
        "per 10,000 requests %.1f refused for tokens falsely; per seed %.0f tokens"
            + " stranded; per 1,000 requests %.0f appends%n",
        1e4 * falseRefusals / Math.max(1, requests),
        (double) stranded / seeds,
        1e3 * appends / Math.max(1, requests));
    out.println("faults by the stage that requests were in as they struck:");
    out.println(coverage.format());
  }

  private void write(History runHistory) throws CommandException {
    if (history == null) {
      return;
    }
    try {
      Files.writeString(history, runHistory.toLines());
    } catch (IOException e) {
      throw new CommandException(ExitStatus.WRONG_FILE, "could not write " + history + ": " + e);
    }
  }

  private Set<FaultKind> kinds() throws CommandException {
    Set<FaultKind> kinds = EnumSet.noneOf(FaultKind.class);
    for (String name : faults) {
      kinds.add(kind(name));
    }
    return kinds.isEmpty() ? EnumSet.allOf(FaultKind.class) : kinds;
  }

  private static FaultKind kind(String name) throws CommandException {
    List<String> labels = new ArrayList<>();
    for (FaultKind kind : FaultKind.values()) {
      if (kind.label().equals(name)) {
        return kind;
      }
      labels.add(kind.label());
    }
    throw new CommandException(
        ExitStatus.WRONG_COMMAND_LINE,
        "--fault was '%s', expected one of %s".formatted(name, String.join(", ", labels)));
  }

  private Deployment chosenDeployment() throws CommandException {
    for (Deployment each : Deployment.values()) {
      if (each.name().toLowerCase(Locale.ROOT).equals(deployment)) {
        return each;
      }
    }
    throw new CommandException(
        ExitStatus.WRONG_COMMAND_LINE,
        "--deployment was '%s', expected aarhus or association".formatted(deployment));
  }
}
