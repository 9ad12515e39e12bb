package org.teaseldeal.settings;

import java.util.List;
import org.teaseldeal.settings.toml.TomlDocument;

/**
 * Parses and validates the subtrees of the settings tree.
 *
 * <p>The result depends only on the text, so that every reader of the log accepts or rejects the
 * same texts.
 */
public final class SettingsParser {
  /** Either the parsed subtree or all problems found in the text. */
  public sealed interface Parsed<T> {
    /** A valid subtree. */
    record Valid<T>(T settings) implements Parsed<T> {}

    /** The problems of a rejected text. */
    record Invalid<T>(List<SettingsProblem> problems) implements Parsed<T> {
      public Invalid {
        problems = List.copyOf(problems);
      }
    }
  }

  private SettingsParser() {}

  /** Parses the fleet's subtree. */
  public static Parsed<FleetSettings> parseFleet(String toml) {
    return TomlDocument.read(toml, FleetParser::read);
  }

  /** Parses the subtree of a team; {@code subtree} names the team. */
  public static Parsed<TeamSettings> parseTeam(SubtreeId subtree, String toml) {
    return TomlDocument.read(toml, root -> new TeamParser(subtree.team()).read(root));
  }
}
