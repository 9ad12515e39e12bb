package org.teaseldeal.standin.settings;

import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.teaseldeal.settings.toml.TomlReader;

/**
 * The settings of a backend server's registration in the platform's instance list.
 *
 * @param platform the platform's address as {@code host:port}; empty to stay out of the list
 * @param id the server's id; empty for one that consists of role and port
 * @param pool the pool that the server belongs to
 * @param renewEvery the time between renewals of the registration
 * @param leaveTime the minimum time that a leaving server keeps serving, so that the lagged list
 *     can show it as leaving to all clients
 * @param drainLimit the maximum time that a leaving server waits for its requests in flight, after
 *     {@code leaveTime}
 */
public record RegistrationSettings(
    Optional<String> platform,
    Optional<String> id,
    String pool,
    String dataCentre,
    Duration renewEvery,
    Duration leaveTime,
    Duration drainLimit) {
  private static final Duration HOUR = Duration.ofHours(1);

  /** Reads the settings from the table {@code registration}. */
  public static RegistrationSettings read(TomlReader table, String defaultPool) {
    return new RegistrationSettings(
        table.optionalText("platform"),
        table.has("id") ? Optional.of(table.name("id")) : Optional.empty(),
        table.name("pool", defaultPool),
        table.name("data_centre", "local"),
        table.duration("renew_every", Duration.ofSeconds(1), Duration.ofMillis(10), HOUR),
        table.duration("leave_time", Duration.ofSeconds(3), Duration.ZERO, HOUR),
        table.duration("drain_limit", Duration.ofSeconds(30), Duration.ZERO, HOUR));
  }

  /** Returns a copy in which each argument that isn't null replaces the setting. */
  public RegistrationSettings withOverrides(
      @Nullable String newPlatform,
      @Nullable String newId,
      @Nullable String newPool,
      @Nullable String newDataCentre) {
    return new RegistrationSettings(
        newPlatform == null ? platform : Optional.of(newPlatform),
        newId == null ? id : Optional.of(newId),
        newPool == null ? pool : newPool,
        newDataCentre == null ? dataCentre : newDataCentre,
        renewEvery,
        leaveTime,
        drainLimit);
  }
}
