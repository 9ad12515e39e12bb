package org.teaseldeal.operator.command;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.PoolSettings;
import org.teaseldeal.settings.ServiceSettings;
import org.teaseldeal.settings.SettingsParser;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;

/**
 * Names services whose pool the fleet doesn't have.
 *
 * <p>The ledger's verdict on a subtree depends on that subtree alone, so it can't refuse them; the
 * services would get no server, and nobody would see why.
 */
final class PoolWarnings {
  private PoolWarnings() {}

  /** A warning for each service of {@code toml} that {@code fleet} has no fitting pool for. */
  static List<String> of(SubtreeId subtree, String toml, Optional<FleetSettings> fleet) {
    if (subtree.isFleet()
        || !(SettingsParser.parseTeam(subtree, toml)
            instanceof Parsed.Valid<TeamSettings>(TeamSettings team))) {
      return List.of();
    }
    return team.services().values().stream()
        .filter(Predicate.not(service -> hasMatchingPool(service, fleet)))
        .map(service -> warning(service))
        .sorted()
        .toList();
  }

  private static boolean hasMatchingPool(ServiceSettings service, Optional<FleetSettings> fleet) {
    return fleet
        .map(settings -> settings.pools().get(service.pool()))
        .map(PoolSettings::kind)
        .filter(kind -> kind == service.kind())
        .isPresent();
  }

  private static String warning(ServiceSettings service) {
    return "%s names pool %s, but the fleet's settings have no such pool of its kind"
        .formatted(service.id(), service.pool());
  }
}
