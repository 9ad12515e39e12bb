package org.teaseldeal.cli.log;

import java.util.Locale;
import java.util.Optional;
import org.tinylog.Level;

/**
 * Filters log entries by a minimum level that can be changed at any time.
 *
 * <p>Tinylog fixes its own level when it starts, so it can't be used for this.
 */
public final class LogLevelFilter {
  private static volatile Level minimumLevel = Level.INFO;

  private LogLevelFilter() {}

  /**
   * Sets the minimum level by its name, in upper or lower case.
   *
   * @return the new level; empty, and the level is unchanged, if there is no level of that name
   */
  public static Optional<Level> set(String name) {
    for (Level candidate : Level.values()) {
      if (candidate.name().equals(name.toUpperCase(Locale.ROOT))) {
        minimumLevel = candidate;
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }

  static boolean isEnabled(Level level) {
    return level.ordinal() >= minimumLevel.ordinal();
  }
}
