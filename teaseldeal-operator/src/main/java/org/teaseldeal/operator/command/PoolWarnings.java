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
 * Warns of services whose pool is missing from the settings of the fleet.
 *
 * <p>The ledger decides on a subtree from that subtree alone, so it can't refuse such a service.
 * The service would get no backend server, with no visible reason.
 */
final class PoolWarnings {
  private PoolWarnings() {}

  /**
   * Returns a warning for each service in {@code toml} for which {@code fleet} has no pool of the
   * same name and kind.
   */
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
    return "%s names pool %s, but the fleet settings have no pool of that name and its kind"
        .formatted(service.id(), service.pool());
  }
}
