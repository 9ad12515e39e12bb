package org.teaseldeal.bench;

import com.beust.jcommander.Parameter;
import java.io.IOException;
import java.nio.file.Path;
import org.teaseldeal.bench.demo.FleetPlan;
import org.teaseldeal.bench.demo.LoadFleet;
import org.teaseldeal.cli.CommandException;
import org.teaseldeal.cli.ExitStatus;
import org.teaseldeal.net.HttpClient;

/** The options of commands that start a fleet. */
final class FleetOptions {
  @Parameter(names = "--launchers", description = "Folder of the programs' launchers")
  private Path launchers = Path.of("bin");

  @Parameter(names = "--routers", description = "Routers of the fleet")
  private int routers = 3;

  @Parameter(names = "--engines", description = "Model engines of the fleet")
  private int engines = 13;

  @Parameter(names = "--services", description = "Plain servers of the fleet: 4, at Aarhus 3")
  private int services = 4;

  @Parameter(names = "--places", description = "Requests that an engine runs concurrently")
  private int concurrencyPerEngine = 4;

  @Parameter(names = "--iteration-micros", description = "Microseconds per engine iteration")
  private int iterationMicros = 20_000;

  @Parameter(names = "--placement", description = "two-choices, least-outstanding, round-robin")
  private String placement = "two-choices";

  @Parameter(names = "--queue", description = "fair or unbounded")
  private String queue = "fair";

  LoadFleet start(Path settings, HttpClient client) throws CommandException, InterruptedException {
    FleetPlan plan =
        new FleetPlan(
            launchers,
            settings,
            routers,
            engines,
            services,
            concurrencyPerEngine,
            iterationMicros,
            "[decisions]\nplacement = \"%s\"\nqueue = \"%s\"\n".formatted(placement, queue));
    try {
      return LoadFleet.start(plan, client);
    } catch (IOException e) {
      throw new CommandException(ExitStatus.UNREACHABLE, String.valueOf(e.getMessage()));
    }
  }

  /** Returns a one-line description of the fleet. */
  String description() {
    return "%d routers (%s, %s), %d engines with %d concurrent requests each"
        .formatted(routers, placement, queue, engines, concurrencyPerEngine);
  }
}
