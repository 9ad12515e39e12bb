package org.teaseldeal.model;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import org.teaseldeal.cli.Command;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;

@Parameters(
    commandDescription = "Simulate a scenario once in virtual time and check the invariants")
final class PlayCommand extends Command {
  @Parameter(description = "SCENARIO.toml ...", required = true)
  private List<Path> scenarios = new ArrayList<>();

  @Parameter(
      names = "--size",
      description = "Fleet size in instances; 0 for the scenario's own size")
  private int size;

  @Parameter(names = "--seed", description = "Seed of all random decisions")
  private long seed = 1;

  @Parameter(
      names = "--without",
      description = "A mechanism to switch off: draws, loads, caches, isolation")
  private List<Mechanism> without = new ArrayList<>();

  @Override
  protected ExitStatus run(PrintStream out, PrintStream err) throws CommandException {
    boolean allInvariantsHeld = true;
    for (Path file : scenarios) {
      Scenario scenario = ScenarioFiles.read(file);
      EnumSet<Mechanism> disabled = EnumSet.noneOf(Mechanism.class);
      disabled.addAll(without);
      SimulationResult result =
          ModelFleet.simulate(scenario, size == 0 ? scenario.instances() : size, seed, disabled);
      out.print(result.text());
      allInvariantsHeld &= result.violations().isEmpty();
    }
    return allInvariantsHeld ? ExitStatus.OK : ExitStatus.REFUSED;
  }
}
