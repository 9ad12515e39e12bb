package org.teaseldeal.standin.platform;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.fault.AnswerFaults;
import org.teaseldeal.standin.fault.FaultSettings;

/**
 * The faults of the platform.
 *
 * @param seed the seed of the random source that decides which appends a share affects
 * @param logOutage whether appends and reads of the log are answered with 503
 * @param listOutage whether registrations and reads of the instance list are answered with 503
 * @param weightsOutage whether reads of the weight store are answered with 503
 * @param logSilent whether the log accepts requests without answering or carrying them out
 * @param appendLatencyMs the delay in milliseconds before an append is stored and answered
 * @param readLatencyMs the delay in milliseconds before a read is carried out and answered
 * @param listLatencyMs the delay in milliseconds before a read of the list is answered
 * @param lostAnswerShare the share of appends that are stored and whose connection is then closed
 *     without an answer
 * @param silentAnswerShare the share of appends that are stored and never answered
 * @param listLagMs the time in milliseconds added to the lag of the list
 * @param answers how answers are framed, and which of them are broken off
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
    long listLagMs,
    @JsonUnwrapped AnswerFaults answers)
    implements FaultSettings {
  /** No faults. */
  public static final PlatformFaults NONE =
      new PlatformFaults(1, false, false, false, false, 0, 0, 0, 0, 0, 0, AnswerFaults.NONE);

  private static final long MAX_LATENCY_MS = 3_600_000;

  /** Reads fault settings; keys that {@code table} lacks have their value in {@code defaults}. */
  public static PlatformFaults read(TomlReader table, PlatformFaults defaults) {
    return new PlatformFaults(
        table.longInRange("seed", defaults.seed, 0, Long.MAX_VALUE),
        table.bool("log_outage", defaults.logOutage),
        table.bool("list_outage", defaults.listOutage),
        table.bool("weights_outage", defaults.weightsOutage),
        table.bool("log_silent", defaults.logSilent),
        table.longInRange("append_latency_ms", defaults.appendLatencyMs, 0, MAX_LATENCY_MS),
        table.longInRange("read_latency_ms", defaults.readLatencyMs, 0, MAX_LATENCY_MS),
        table.longInRange("list_latency_ms", defaults.listLatencyMs, 0, MAX_LATENCY_MS),
        table.doubleInRange("lost_answer_share", defaults.lostAnswerShare, 0, 1),
        table.doubleInRange("silent_answer_share", defaults.silentAnswerShare, 0, 1),
        table.longInRange("list_lag_ms", defaults.listLagMs, 0, MAX_LATENCY_MS),
        AnswerFaults.read(table, defaults.answers));
  }
}
