package org.teaseldeal.bench.demo;

import java.nio.file.Path;
import org.teaseldeal.api.Preconditions;

/**
 * The composition of a fleet for a load.
 *
 * @param settings the folder with {@code fleet.toml} and a {@code team-NAME.toml} for each team
 * @param concurrencyPerEngine the number of requests that an engine runs concurrently, which is
 *     also the fleet's limit of concurrent requests per engine
 * @param iterationMicros the time in microseconds in which an engine produces one token of each
 *     running request
 * @param decisions the table {@code [decisions]} of the routers' settings
 */
public record FleetPlan(
    Path launchers,
    Path settings,
    int routers,
    int engines,
    int services,
    int concurrencyPerEngine,
    int iterationMicros,
    String decisions) {
  public FleetPlan {
    Preconditions.requirePositive(routers, "routers");
    Preconditions.requirePositive(engines, "engines");
    Preconditions.requirePositive(services, "services");
    Preconditions.requirePositive(concurrencyPerEngine, "places");
    Preconditions.requirePositive(iterationMicros, "iteration");
  }

  String batch() {
    return "[batch]\nmax_running = %d\niteration_micros = %d\n"
        .formatted(concurrencyPerEngine, iterationMicros);
  }
}
