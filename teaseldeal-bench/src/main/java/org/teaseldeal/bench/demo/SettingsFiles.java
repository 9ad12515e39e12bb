package org.teaseldeal.bench.demo;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the settings files of the demo's processes to a folder. */
final class SettingsFiles {
  private final Path folder;

  SettingsFiles(Path folder) {
    this.folder = folder;
  }

  /** Writes the resource {@code name} to the folder. */
  Path resource(String name) throws DemoException {
    return write(name, text(name));
  }

  /** Returns the text of the resource {@code name}. */
  static String text(String name) throws DemoException {
    try (InputStream in = SettingsFiles.class.getResourceAsStream(name)) {
      if (in == null) {
        throw new DemoException("missing resource " + name);
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new DemoException("resource %s cannot be read: %s".formatted(name, e));
    }
  }

  /**
   * Writes the platform's settings. Its list removes a dead instance after a short time, so that
   * the demo does not take long.
   */
  Path platform() throws DemoException {
    return write(
        "platform.toml",
        """
        [instances]
        lag = "200ms"
        expiry = "3s"
        """);
  }

  Path backendServer(String name, String pool, String platform) throws DemoException {
    return write(
        name + ".toml",
        """
        [registration]
        platform = "%s"
        id = "%s"
        pool = "%s"
        data_centre = "hall-a"
        leave_time = "500ms"
        """
            .formatted(platform, name, pool));
  }

  Path router(String name, String platform) throws DemoException {
    return write(
        name + ".toml",
        """
        instance = "%s"
        data_centre = "hall-a"
        platform = "%s"

        [callers]
        host = "127.0.0.1"
        port = 0

        [peers]
        host = "127.0.0.1"
        port = 0

        [admin]
        host = "127.0.0.1"
        port = 0
        """
            .formatted(name, platform));
  }

  private Path write(String name, String text) throws DemoException {
    try {
      return Files.writeString(folder.resolve(name), text);
    } catch (IOException e) {
      throw new DemoException("%s cannot be written: %s".formatted(name, e));
    }
  }
}
