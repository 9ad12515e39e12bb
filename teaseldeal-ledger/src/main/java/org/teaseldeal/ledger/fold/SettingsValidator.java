package org.teaseldeal.ledger.fold;

import java.util.List;
import java.util.Optional;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.SettingsParser;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.SettingsProblem;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;

/**
 * Checks the text of a settings subtree.
 *
 * <p>The result must depend on the arguments alone: if it differed between instances, they would
 * put different settings in force.
 */
@FunctionalInterface
public interface SettingsValidator {
  /** The validator that all instances use, based on the settings parser. */
  SettingsValidator STANDARD = SettingsValidator::parserProblems;

  /** Returns the problems of {@code toml}; empty if it may be put in force. */
  List<SettingsProblem> problems(SubtreeId subtree, String toml);

  /** Returns the fleet's settings that {@code toml} describes; empty if it can't be parsed. */
  default Optional<FleetSettings> fleet(String toml) {
    return valid(SettingsParser.parseFleet(toml));
  }

  /** Returns the team's settings that {@code toml} describes; empty if it can't be parsed. */
  default Optional<TeamSettings> team(SubtreeId subtree, String toml) {
    return valid(SettingsParser.parseTeam(subtree, toml));
  }

  private static List<SettingsProblem> parserProblems(SubtreeId subtree, String toml) {
    Parsed<?> parsed =
        subtree.isFleet()
            ? SettingsParser.parseFleet(toml)
            : SettingsParser.parseTeam(subtree, toml);
    return switch (parsed) {
      case Parsed.Valid<?> valid -> List.of();
      case Parsed.Invalid<?> invalid -> invalid.problems();
    };
  }

  private static <T> Optional<T> valid(Parsed<T> parsed) {
    return switch (parsed) {
      case Parsed.Valid<T> valid -> Optional.of(valid.settings());
      case Parsed.Invalid<T> invalid -> Optional.empty();
    };
  }
}
