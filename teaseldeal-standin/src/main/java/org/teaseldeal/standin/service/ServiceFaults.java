package org.teaseldeal.standin.service;

import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.fault.FaultSettings;

/**
 * Faults of a plain service.
 *
 * @param seed of the random source that decides by the shares
 * @param latencyMs added to each call's latency
 * @param refuseShare of calls that are answered by 503 with {@code Not-Run: true} and not run
 * @param failShare of calls that are run and then answered by 500
 * @param closeBeforeShare of calls whose connection closes unanswered and which are not run
 * @param closeAfterShare of calls that are run and whose connection then closes unanswered
 * @param silentBeforeShare of calls that are not run and never answered
 * @param silentAfterShare of calls that are run and never answered
 */
public record ServiceFaults(
    long seed,
    long latencyMs,
    double refuseShare,
    double failShare,
    double closeBeforeShare,
    double closeAfterShare,
    double silentBeforeShare,
    double silentAfterShare)
    implements FaultSettings {
  private static final long MAX_LATENCY_MS = 3_600_000;

  /** No faults. */
  public static final ServiceFaults NONE = new ServiceFaults(1, 0, 0, 0, 0, 0, 0, 0);

  /** Reads the keys that {@code table} has; others are as in {@code byDefault}. */
  public static ServiceFaults read(TomlReader table, ServiceFaults byDefault) {
    return new ServiceFaults(
        table.longInRange("seed", byDefault.seed, 0, Long.MAX_VALUE),
        table.longInRange("latency_ms", byDefault.latencyMs, 0, MAX_LATENCY_MS),
        table.doubleInRange("refuse_share", byDefault.refuseShare, 0, 1),
        table.doubleInRange("fail_share", byDefault.failShare, 0, 1),
        table.doubleInRange("close_before_share", byDefault.closeBeforeShare, 0, 1),
        table.doubleInRange("close_after_share", byDefault.closeAfterShare, 0, 1),
        table.doubleInRange("silent_before_share", byDefault.silentBeforeShare, 0, 1),
        table.doubleInRange("silent_after_share", byDefault.silentAfterShare, 0, 1));
  }
}
