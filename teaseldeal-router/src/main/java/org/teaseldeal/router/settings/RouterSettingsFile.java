package org.teaseldeal.router.settings;

import java.time.Duration;
import java.util.Optional;
import org.teaseldeal.api.DataCentre;
import org.teaseldeal.api.InstanceId;
import org.teaseldeal.core.part.PlacementChoice;
import org.teaseldeal.core.part.QueueChoice;
import org.teaseldeal.net.IpAddresses;
import org.teaseldeal.settings.SettingsParser.Parsed;
import org.teaseldeal.settings.toml.TomlDocument;
import org.teaseldeal.settings.toml.TomlReader;

/** Reads the TOML settings file of a router. */
public final class RouterSettingsFile {
  private static final int MAX_PORT = 65_535;
  private static final long BYTES_PER_KIB = 1 << 10;
  private static final long BYTES_PER_MIB = 1 << 20;

  private RouterSettingsFile() {}

  /** Returns the settings in {@code toml}, or all problems found in it. */
  public static Parsed<RouterSettings> parse(String toml) {
    return TomlDocument.read(toml, RouterSettingsFile::read);
  }

  private static RouterSettings read(TomlReader root) {
    TomlReader admin = root.table("admin");
    TomlReader decisions = root.table("decisions");
    ListenSettings adminListen = advertisedListen(admin);
    return new RouterSettings(
        new InstanceId(root.name("instance")),
        new DataCentre(root.name("data_centre")),
        address(root, "platform", root.text("platform")),
        root.intInRange("streams", 1, 1, 1024),
        root.duration(
            "tick_interval", Duration.ofMillis(5), Duration.ofMillis(1), Duration.ofSeconds(1)),
        advertisedListen(root.table("callers")),
        advertisedListen(root.table("peers")),
        adminListen,
        credential(admin, adminListen),
        limits(root.table("limits")),
        decisions.enumConstant("placement", PlacementChoice.TWO_CHOICES),
        decisions.enumConstant("queue", QueueChoice.FAIR));
  }

  private static ListenSettings listen(TomlReader table) {
    String host = table.text("host");
    if (!isIpAddress(host)) {
      table.addProblem("host", "was \"%s\", expected an IP address".formatted(host));
    }
    return new ListenSettings(host, (int) table.longInRange("port", 0, MAX_PORT), Optional.empty());
  }

  private static ListenSettings advertisedListen(TomlReader table) {
    ListenSettings listen = listen(table);
    Optional<String> advertised = table.optionalText("advertised");
    advertised.ifPresent(address -> address(table, "advertised", address));
    if (advertised.isEmpty() && isWildcard(listen.host())) {
      table.addProblem(
          "advertised",
          "is missing, expected host:port with an IP address, because host \"%s\" is a wildcard address"
              .formatted(listen.host()));
    }
    return new ListenSettings(listen.host(), listen.port(), advertised);
  }

  private static Optional<String> credential(TomlReader admin, ListenSettings listen) {
    if (admin.has("credential_sha256")) {
      return Optional.of(admin.sha256("credential_sha256"));
    }
    if (isIpAddress(listen.host()) && !isLoopback(listen.host())) {
      admin.addProblem(
          "credential_sha256",
          "is missing, expected the SHA-256 of a token, because host \"%s\" is not a loopback address"
              .formatted(listen.host()));
    }
    return Optional.empty();
  }

  private static RouterLimits limits(TomlReader limits) {
    return new RouterLimits(
        (int) limits.byteSize("body", BYTES_PER_MIB, BYTES_PER_KIB, 64 * BYTES_PER_MIB),
        (int) limits.byteSize("header", 16 * BYTES_PER_KIB, BYTES_PER_KIB, 256 * BYTES_PER_KIB),
        limits.intInRange("connections", 4096, 1, 100_000),
        limits.duration(
            "request_time", Duration.ofSeconds(10), Duration.ofMillis(100), Duration.ofMinutes(5)),
        limits.duration(
            "idle_time", Duration.ofMinutes(2), Duration.ofSeconds(1), Duration.ofHours(1)),
        limits.duration("leave", Duration.ofSeconds(2), Duration.ZERO, Duration.ofMinutes(5)),
        limits.duration(
            "drain", Duration.ofSeconds(30), Duration.ofMillis(100), Duration.ofHours(1)),
        (int) limits.byteSize("stream_buffer", BYTES_PER_MIB, BYTES_PER_KIB, 64 * BYTES_PER_MIB),
        (int) limits.byteSize("answer", 8 * BYTES_PER_MIB, BYTES_PER_KIB, 256 * BYTES_PER_MIB));
  }

  private static String address(TomlReader table, String key, String address) {
    try {
      IpAddresses.parse(address);
    } catch (IllegalArgumentException e) {
      if (table.has(key)) {
        table.addProblem(
            key, "was \"%s\", expected host:port with an IP address".formatted(address));
      }
    }
    return address;
  }

  private static boolean isIpAddress(String host) {
    try {
      IpAddresses.socketAddress(host, 0);
      return true;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  private static boolean isLoopback(String host) {
    return IpAddresses.socketAddress(host, 0).getAddress().isLoopbackAddress();
  }

  private static boolean isWildcard(String host) {
    return isIpAddress(host) && IpAddresses.socketAddress(host, 0).getAddress().isAnyLocalAddress();
  }
}
