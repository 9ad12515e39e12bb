package org.teaseldeal.settings;

/**
 * One problem found in a settings text.
 *
 * @param path the path of the key, such as {@code services.drafts.pool}; empty for a syntax error
 * @param line the line of the key, from 1
 * @param message what was found and what was expected
 */
public record SettingsProblem(String path, int line, String message) {
  @Override
  public String toString() {
    return "line %d: %s%s".formatted(line, path.isEmpty() ? "" : path + ": ", message);
  }
}
