package org.teaseldeal.core.fake;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.teaseldeal.ledger.fold.SettingsValidator;
import org.teaseldeal.settings.FleetSettings;
import org.teaseldeal.settings.LeasePolicySettings;
import org.teaseldeal.settings.PoolSettings;
import org.teaseldeal.settings.ServiceKind;
import org.teaseldeal.settings.SettingsProblem;
import org.teaseldeal.settings.SubtreeId;
import org.teaseldeal.settings.TeamSettings;

/** Typed settings that are represented on the log by a name instead of their TOML. */
public final class FakeSettings implements SettingsValidator {
  private final Map<String, FleetSettings> fleets = new HashMap<>();
  private final Map<String, TeamSettings> teams = new HashMap<>();

  /** Stores {@code settings} and returns the text with which to publish them. */
  public String put(FleetSettings settings) {
    String text = "fleet-" + fleets.size();
    fleets.put(text, settings);
    return text;
  }

  /** Stores {@code settings} and returns the text with which to publish them. */
  public String put(TeamSettings settings) {
    String text = "team-" + teams.size();
    teams.put(text, settings);
    return text;
  }

  /**
   * Returns settings with two pools, {@code engines} and {@code desks}, and a lease policy for
   * small budgets.
   */
  public static FleetSettings fleet(int maxConcurrentPerServer) {
    return fleet(
        maxConcurrentPerServer,
        new LeasePolicySettings(Duration.ofSeconds(20), 0.25, 500, Duration.ofSeconds(30)));
  }

  /** Returns such settings with the given lease policy. */
  static FleetSettings fleet(int maxConcurrentPerServer, LeasePolicySettings lease) {
    return new FleetSettings(
        Map.of(
            "engines",
            new PoolSettings("engines", ServiceKind.MODEL, maxConcurrentPerServer, true),
            "desks",
            new PoolSettings("desks", ServiceKind.PLAIN, maxConcurrentPerServer, false)),
        lease,
        Duration.ofSeconds(2),
        Duration.ofSeconds(30),
        0.1,
        Duration.ofHours(1),
        Duration.ofHours(24));
  }

  /**
   * Returns the standard settings with {@code models} as the models that each engine should have.
   */
  public static FleetSettings withModels(Map<String, String> models) {
    FleetSettings base = fleet(8);
    PoolSettings engines =
        new PoolSettings(
            "engines",
            ServiceKind.MODEL,
            8,
            true,
            models,
            Map.of("wool", "1"),
            Optional.of("decode"));
    Map<String, PoolSettings> pools = new HashMap<>(base.pools());
    pools.put("engines", engines);
    return new FleetSettings(
        pools,
        base.lease(),
        base.progressTimeout(),
        base.defaultTimeout(),
        base.maxRetryShare(),
        base.claimWindow(),
        base.keyRetention());
  }

  @Override
  public List<SettingsProblem> problems(SubtreeId subtree, String toml) {
    boolean known = subtree.isFleet() ? fleets.containsKey(toml) : teams.containsKey(toml);
    return known ? List.of() : List.of(new SettingsProblem("", 1, "unknown text " + toml));
  }

  @Override
  public Optional<FleetSettings> fleet(String toml) {
    return Optional.ofNullable(fleets.get(toml));
  }

  @Override
  public Optional<TeamSettings> team(SubtreeId subtree, String toml) {
    return Optional.ofNullable(teams.get(toml));
  }
}
