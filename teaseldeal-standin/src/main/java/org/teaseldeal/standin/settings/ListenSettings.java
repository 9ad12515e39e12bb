package org.teaseldeal.standin.settings;

import org.jspecify.annotations.Nullable;
import org.teaseldeal.api.Preconditions;
import org.teaseldeal.settings.toml.TomlReader;

/** Where a stand-in listens; port 0 lets the system choose. */
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

  /** The same with what the command line gave. */
  public ListenSettings with(
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
