package org.teaseldeal.standin.service;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.fault.AnswerFaults;
import org.teaseldeal.standin.fault.FaultSettings;

/**
 * The faults of a plain service.
 *
 * @param seed the seed of the random source that decides which calls a share affects
 * @param latencyMs the time added to each call's latency, in milliseconds
 * @param refuseShare the share of calls that are not run and answered with 503 and {@code Not-Run:
 *     true}
 * @param failShare the share of calls that are run and then answered with 500
 * @param closeBeforeShare the share of calls that are not run and whose connection is closed
 *     without an answer
 * @param closeAfterShare the share of calls that are run and whose connection is then closed
 *     without an answer
 * @param silentBeforeShare the share of calls that are not run and never answered
 * @param silentAfterShare the share of calls that are run and never answered
 * @param answers how answers are framed, and which of them are broken off
 */
public record ServiceFaults(
    long seed,
    long latencyMs,
    double refuseShare,
    double failShare,
    double closeBeforeShare,
    double closeAfterShare,
    double silentBeforeShare,
    double silentAfterShare,
    @JsonUnwrapped AnswerFaults answers)
    implements FaultSettings {
  private static final long MAX_LATENCY_MS = 3_600_000;

  /** No faults. */
  public static final ServiceFaults NONE =
      new ServiceFaults(1, 0, 0, 0, 0, 0, 0, 0, AnswerFaults.NONE);

  /** Reads fault settings; keys that {@code table} lacks have their value in {@code defaults}. */
  public static ServiceFaults read(TomlReader table, ServiceFaults defaults) {
    return new ServiceFaults(
        table.longInRange("seed", defaults.seed, 0, Long.MAX_VALUE),
        table.longInRange("latency_ms", defaults.latencyMs, 0, MAX_LATENCY_MS),
        table.doubleInRange("refuse_share", defaults.refuseShare, 0, 1),
        table.doubleInRange("fail_share", defaults.failShare, 0, 1),
        table.doubleInRange("close_before_share", defaults.closeBeforeShare, 0, 1),
        table.doubleInRange("close_after_share", defaults.closeAfterShare, 0, 1),
        table.doubleInRange("silent_before_share", defaults.silentBeforeShare, 0, 1),
        table.doubleInRange("silent_after_share", defaults.silentAfterShare, 0, 1),
        AnswerFaults.read(table, defaults.answers));
  }
}
