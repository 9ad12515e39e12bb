package org.teaseldeal.standin.settings;

import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.settings.toml.TomlReader;

/** The addresses that a stand-in listens on; for port 0 the system chooses a free port. */
public record ListenSettings(String host, int port, int adminPort) {
  private static final int MAX_PORT = 65_535;

  public ListenSettings {
    requirePort(port, "port");
    requirePort(adminPort, "admin port");
  }

  /** Reads {@code host}, {@code port} and {@code admin_port}. */
  public static ListenSettings read(TomlReader root) {
    return new ListenSettings(
        root.text("host", "127.0.0.1"),
        root.intInRange("port", 0, 0, MAX_PORT),
        root.intInRange("admin_port", 0, 0, MAX_PORT));
  }

  /** Returns a copy in which each argument that isn't null replaces the setting. */
  public ListenSettings withOverrides(
      @Nullable String newHost, @Nullable Integer newPort, @Nullable Integer newAdminPort) {
    return new ListenSettings(
        newHost == null ? host : newHost,
        newPort == null ? port : newPort,
        newAdminPort == null ? adminPort : newAdminPort);
  }

  private static void requirePort(int port, String argument) {
    Preconditions.require(
        port >= 0 && port <= MAX_PORT,
        "%s was %d, expected 0 to %d".formatted(argument, port, MAX_PORT));
  }
}
