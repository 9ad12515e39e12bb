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
        "Play scenarios with and without a mechanism, paired by seed, at several sizes")
final class ExperimentCommand extends Command {
  @Parameter(description = "SCENARIO.toml ...", required = true)
  private List<Path> scenarios = new ArrayList<>();

  @Parameter(names = "--sizes", description = "Instances, separated by commas")
  private List<Integer> sizes = new ArrayList<>(List.of(9, 95));

  @Parameter(names = "--seeds", description = "How many seeds, from 1 on")
  private int seeds = 5;

  @Parameter(
      names = "--without",
      required = true,
      description = "Mechanisms, each switched off alone: draws, loads, caches, isolation")
  private List<Mechanism> without = new ArrayList<>();

  private boolean kept = true;

  @Override
  protected ExitStatus run(PrintStream out, PrintStream err) throws CommandException {
    out.printf(
        "%-22s %5s %-8s %7s %7s %10s %8s%n",
        "scenario", "size", "without", "with", "off", "difference", "error");
    for (Path file : scenarios) {
      Scenario scenario = ScenarioFiles.read(file);
      for (int size : sizes) {
        List<Double> base = worths(scenario, size, EnumSet.noneOf(Mechanism.class), err);
        for (Mechanism mechanism : without) {
          List<Double> off = worths(scenario, size, EnumSet.of(mechanism), err);
          PairedDifference difference = PairedDifference.of(base, off);
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
    return kept ? ExitStatus.OK : ExitStatus.REFUSED;
  }

  private List<Double> worths(
      Scenario scenario, int size, EnumSet<Mechanism> off, PrintStream progress) {
    List<Double> worths = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      PlayResult result = ModelFleet.play(scenario, size, seed, off);
      worths.add(result.worth());
      progress.printf("%s, %d instances, seed %d, without %s%n", scenario.name(), size, seed, off);
      result.broken().forEach(promise -> progress.println("BROKEN: " + promise));
      kept &= result.broken().isEmpty();
    }
    return worths;
  }
}
