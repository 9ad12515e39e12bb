package org.teaseldeal.settings;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.teaseldeal.settings.toml.TomlReader;

/** Parses the fleet's subtree; docs/SETTINGS.md gives the reason for each default. */
final class FleetParser {
  private static final Duration MILLISECOND = Duration.ofMillis(1);
  private static final Duration SECOND = Duration.ofSeconds(1);
  private static final Duration HOUR = Duration.ofHours(1);
  private static final Duration DAY = Duration.ofDays(1);
  private static final int DEFAULT_MODEL_CONCURRENCY = 32;
  private static final int DEFAULT_PLAIN_CONCURRENCY = 16;
  private static final int MAX_CONCURRENCY = 100_000;
  private static final double MIN_SHARE = 0.001;
  private static final double DEFAULT_MAX_SHARE = 0.25;
  private static final double DEFAULT_MAX_RETRY_SHARE = 0.1;
  private static final long DEFAULT_MINIMUM_TOKENS = 1_000;
  private static final long MAX_MINIMUM_TOKENS = 1_000_000_000;

  private FleetParser() {}

  static FleetSettings read(TomlReader root) {
    TomlReader requests = root.table("requests");
    TomlReader claims = root.table("claims");
    Duration window = claims.duration("window", DAY, SECOND, DAY.multipliedBy(30));
    Duration keyRetention =
        claims.duration("key_memory", DAY.multipliedBy(7), SECOND, DAY.multipliedBy(365));
    if (keyRetention.compareTo(window) < 0) {
      claims.addProblem("key_memory", "was shorter than window, expected at least as long");
      keyRetention = window;
    }
    return new FleetSettings(
        readPools(root),
        readLease(root.table("lease")),
        requests.duration("progress_timeout", Duration.ofSeconds(10), MILLISECOND, HOUR),
        requests.duration("default_timeout", Duration.ofMinutes(1), MILLISECOND, DAY),
        requests.doubleInRange("max_retry_share", DEFAULT_MAX_RETRY_SHARE, 0, 1),
        window,
        keyRetention);
  }

  private static Map<String, PoolSettings> readPools(TomlReader root) {
    Map<String, PoolSettings> pools = new LinkedHashMap<>();
    root.tables("pools").forEach((name, pool) -> pools.put(name, readPool(name, pool)));
    return pools;
  }

  private static PoolSettings readPool(String name, TomlReader pool) {
    ServiceKind kind = pool.enumConstant("kind", ServiceKind.class);
    int defaultConcurrency =
        kind == ServiceKind.MODEL ? DEFAULT_MODEL_CONCURRENCY : DEFAULT_PLAIN_CONCURRENCY;
    return new PoolSettings(
        name,
        kind,
        pool.intInRange("max_concurrent_per_server", defaultConcurrency, 1, MAX_CONCURRENCY),
        pool.bool("checks_fencing", false),
        modelPoolOnly(kind, pool, "models", pool.versions("models")),
        modelPoolOnly(kind, pool, "adapters", pool.versions("adapters")),
        modelPoolOnly(kind, pool, "role", pool.optionalName("role")));
  }

  private static <T> T modelPoolOnly(ServiceKind kind, TomlReader pool, String key, T value) {
    if (kind != ServiceKind.MODEL && pool.has(key)) {
      pool.addProblem(key, "was given, expected none for a pool of kind \"plain\"");
    }
    return value;
  }

  private static LeasePolicySettings readLease(TomlReader lease) {
    return new LeasePolicySettings(
        lease.duration("horizon", Duration.ofMinutes(10), SECOND, DAY),
        lease.doubleInRange("max_share", DEFAULT_MAX_SHARE, MIN_SHARE, 1),
        lease.longInRange("minimum_tokens", DEFAULT_MINIMUM_TOKENS, 1, MAX_MINIMUM_TOKENS),
        lease.duration("idle_return", Duration.ofMinutes(2), SECOND, DAY));
  }
}
