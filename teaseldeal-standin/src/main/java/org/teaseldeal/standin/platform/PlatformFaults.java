package org.teaseldeal.standin.platform;

import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.fault.FaultSettings;

/**
 * Faults of the platform.
 *
 * @param seed of the random source that decides by the shares
 * @param logOutage appends and reads of the log are answered by 503
 * @param listOutage the instance list and registrations are answered by 503
 * @param weightsOutage the weight store is answered by 503
 * @param logSilent the log takes requests and never answers nor does anything
 * @param appendLatencyMs how much later an append is done and answered
 * @param readLatencyMs how much later a read is answered
 * @param listLatencyMs how much later the list is answered
 * @param lostAnswerShare of appends that are stored, after which the connection closes unanswered
 * @param silentAnswerShare of appends that are stored and never answered
 * @param listLagMs added to the list's lag
 */
public record PlatformFaults(
    long seed,
    boolean logOutage,
    boolean listOutage,
    boolean weightsOutage,
    boolean logSilent,
    long appendLatencyMs,
    long readLatencyMs,
    long listLatencyMs,
    double lostAnswerShare,
    double silentAnswerShare,
    long listLagMs)
    implements FaultSettings {
  /** No faults. */
  public static final PlatformFaults NONE =
      new PlatformFaults(1, false, false, false, false, 0, 0, 0, 0, 0, 0);

  private static final long MAX_LATENCY_MS = 3_600_000;

  /** Reads the keys that {@code table} has; others are as in {@code byDefault}. */
  public static PlatformFaults read(TomlReader table, PlatformFaults byDefault) {
    return new PlatformFaults(
        table.longInRange("seed", byDefault.seed, 0, Long.MAX_VALUE),
        table.bool("log_outage", byDefault.logOutage),
        table.bool("list_outage", byDefault.listOutage),
        table.bool("weights_outage", byDefault.weightsOutage),
        table.bool("log_silent", byDefault.logSilent),
        table.longInRange("append_latency_ms", byDefault.appendLatencyMs, 0, MAX_LATENCY_MS),
        table.longInRange("read_latency_ms", byDefault.readLatencyMs, 0, MAX_LATENCY_MS),
        table.longInRange("list_latency_ms", byDefault.listLatencyMs, 0, MAX_LATENCY_MS),
        table.doubleInRange("lost_answer_share", byDefault.lostAnswerShare, 0, 1),
        table.doubleInRange("silent_answer_share", byDefault.silentAnswerShare, 0, 1),
        table.longInRange("list_lag_ms", byDefault.listLagMs, 0, MAX_LATENCY_MS));
  }
}
