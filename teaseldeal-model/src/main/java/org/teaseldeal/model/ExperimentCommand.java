package org.teaseldeal.model;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;

@Parameters(
    commandDescription =
        "Simulate scenarios with and without a mechanism, paired by seed, at several fleet sizes")
final class ExperimentCommand extends Command {
  @Parameter(description = "SCENARIO.toml ...", required = true)
  private List<Path> scenarios = new ArrayList<>();

  @Parameter(names = "--sizes", description = "Fleet sizes in instances, separated by commas")
  private List<Integer> sizes = new ArrayList<>(List.of(9, 95));

  @Parameter(names = "--seeds", description = "Number of seeds, counted from 1")
  private int seeds = 5;

  @Parameter(
      names = "--without",
      required = true,
      description = "Mechanisms to switch off one at a time: draws, loads, caches, isolation")
  private List<Mechanism> without = new ArrayList<>();

  private boolean allInvariantsHeld = true;

  @Override
  protected ExitStatus run(PrintStream out, PrintStream err) throws CommandException {
    out.printf(
        "%-22s %5s %-8s %7s %7s %10s %8s%n",
        "scenario", "size", "without", "with", "off", "difference", "error");
    for (Path file : scenarios) {
      Scenario scenario = ScenarioFiles.read(file);
      for (int size : sizes) {
        List<Double> base = relativeWorths(scenario, size, EnumSet.noneOf(Mechanism.class), err);
        for (Mechanism mechanism : without) {
          List<Double> disabled = relativeWorths(scenario, size, EnumSet.of(mechanism), err);
          PairedDifference difference = PairedDifference.of(base, disabled);
          out.printf(
              "%-22s %5d %-8s %7.4f %7.4f %+10.4f %8.4f%n",
              scenario.name(),
              size,
              mechanism.name().toLowerCase(Locale.ROOT),
              difference.meanBefore(),
              difference.meanAfter(),
              difference.mean(),
              difference.standardError());
        }
      }
    }
    return allInvariantsHeld ? ExitStatus.OK : ExitStatus.REFUSED;
  }

  private List<Double> relativeWorths(
      Scenario scenario, int size, EnumSet<Mechanism> disabled, PrintStream progress) {
    List<Double> results = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      SimulationResult result = ModelFleet.simulate(scenario, size, seed, disabled);
      results.add(result.relativeWorth());
      progress.printf(
          "%s, %d instances, seed %d, without %s%n", scenario.name(), size, seed, disabled);
      result.violations().forEach(violation -> progress.println("BROKEN: " + violation));
      allInvariantsHeld &= result.violations().isEmpty();
    }
    return results;
  }
}
