package org.teaseldeal.standin.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.toml.TomlDocument;
import org.teaseldeal.settings.toml.TomlReader;

/** Reads a stand-in's settings file in TOML. */
public final class SettingsFile {
  private SettingsFile() {}

  /**
   * Reads settings from {@code file}.
   *
   * @throws SettingsException whose message has one line for each problem found
   */
  public static <T> T read(Path file, Function<TomlReader, T> reader) throws SettingsException {
    String toml;
    try {
      toml = Files.readString(file);
    } catch (IOException e) {
      throw new SettingsException("%s: cannot be read: %s".formatted(file, e));
    }
    return switch (TomlDocument.read(toml, reader)) {
      case Parsed.Valid<T>(T value) -> value;
      case Parsed.Invalid<T> invalid ->
          throw new SettingsException(
              String.join(
                  "\n",
                  invalid.problems().stream()
                      .map(
                          problem ->
                              "%s:%d: %s: %s"
                                  .formatted(
                                      file, problem.line(), problem.path(), problem.message()))
                      .toList()));
    };
  }

  /** Returns the settings that hold without a settings file. */
  public static <T> T defaults(Function<TomlReader, T> reader) {
    return switch (TomlDocument.read("", reader)) {
      case Parsed.Valid<T>(T value) -> value;
      case Parsed.Invalid<T> invalid -> throw new IllegalStateException(invalid.toString());
    };
  }
}
