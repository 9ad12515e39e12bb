package org.teaseldeal.standin.service;

import java.time.Duration;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.settings.ListenSettings;
import org.teaseldeal.standin.settings.RegistrationSettings;

/**
 * The settings of a plain service stand-in.
 *
 * @param latency the minimum time that each call takes
 * @param jitter the upper limit of the time added to the latency, which is uniformly distributed
 * @param maxRunning the maximum number of concurrent calls; further ones are answered with 503 and
 *     {@code Not-Run: true}
 */
public record PlainServiceSettings(
    ListenSettings listen,
    RegistrationSettings registration,
    Duration latency,
    Duration jitter,
    int maxRunning,
    ServiceFaults faults) {
  private static final Duration HOUR = Duration.ofHours(1);

  /** Reads the settings from a file's root table. */
  public static PlainServiceSettings read(TomlReader root) {
    return new PlainServiceSettings(
        ListenSettings.read(root),
        RegistrationSettings.read(root.table("registration"), "plain"),
        root.duration("latency", Duration.ofMillis(10), Duration.ZERO, HOUR),
        root.duration("jitter", Duration.ofMillis(5), Duration.ZERO, HOUR),
        root.intInRange("max_running", 1_000, 1, 1_000_000),
        ServiceFaults.read(root.table("faults"), ServiceFaults.NONE));
  }
}
