package org.teaseldeal.standin.engine;

import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.fault.FaultSettings;

/**
 * Faults of an engine.
 *
 * @param seed of the random source that decides by the shares
 * @param slowFactor by which every iteration takes longer
 * @param refuseShare of requests that are answered by 503 and not run
 * @param silentRequestShare of requests that vanish: not run, never answered
 * @param silentAnswerShare of requests that are run while their connection stays silent
 * @param silentStreamShare of answers that stop in the middle without the connection closing
 * @param silentAfterFrames how many frames such an answer gives first
 * @param silentStreams every answer under way goes silent for good, and each new one
 * @param silentLoad the load report is never answered
 * @param crossedFrameShare of frames before which a frame of another attempt comes
 * @param lateFrameShare of frames after which the frame before comes once more
 * @param brokenStreamShare of frames after which the connection closes; the request runs on
 * @param crashMarker a prompt that contains it crashes the engine
 * @param crashMode what the crash does; off for nothing
 * @param crashAfterFrames how many frames such a request makes first
 */
public record EngineFaults(
    long seed,
    double slowFactor,
    double refuseShare,
    double silentRequestShare,
    double silentAnswerShare,
    double silentStreamShare,
    int silentAfterFrames,
    boolean silentStreams,
    boolean silentLoad,
    double crossedFrameShare,
    double lateFrameShare,
    double brokenStreamShare,
    String crashMarker,
    CrashMode crashMode,
    int crashAfterFrames)
    implements FaultSettings {
  private static final int MAX_FRAMES = 1_000_000;

  /** No faults. */
  public static final EngineFaults NONE =
      new EngineFaults(
          1, 1, 0, 0, 0, 0, 3, false, false, 0, 0, 0, "crash-the-engine", CrashMode.OFF, 0);

  /** Reads the keys that {@code table} has; others are as in {@code byDefault}. */
  public static EngineFaults read(TomlReader table, EngineFaults byDefault) {
    return new EngineFaults(
        table.longInRange("seed", byDefault.seed, 0, Long.MAX_VALUE),
        table.doubleInRange("slow_factor", byDefault.slowFactor, 0.001, 100_000),
        table.doubleInRange("refuse_share", byDefault.refuseShare, 0, 1),
        table.doubleInRange("silent_request_share", byDefault.silentRequestShare, 0, 1),
        table.doubleInRange("silent_answer_share", byDefault.silentAnswerShare, 0, 1),
        table.doubleInRange("silent_stream_share", byDefault.silentStreamShare, 0, 1),
        table.intInRange("silent_after_frames", byDefault.silentAfterFrames, 0, MAX_FRAMES),
        table.bool("silent_streams", byDefault.silentStreams),
        table.bool("silent_load", byDefault.silentLoad),
        table.doubleInRange("crossed_frame_share", byDefault.crossedFrameShare, 0, 1),
        table.doubleInRange("late_frame_share", byDefault.lateFrameShare, 0, 1),
        table.doubleInRange("broken_stream_share", byDefault.brokenStreamShare, 0, 1),
        table.text("crash_marker", byDefault.crashMarker),
        table.enumConstant("crash_mode", byDefault.crashMode),
        table.intInRange("crash_after_frames", byDefault.crashAfterFrames, 0, MAX_FRAMES));
  }

  /** Whether a request with this prompt crashes the engine. */
  boolean crashes(String prompt) {
    return crashMode != CrashMode.OFF && prompt.contains(crashMarker);
  }
}
