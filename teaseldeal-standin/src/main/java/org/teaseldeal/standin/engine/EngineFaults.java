package org.teaseldeal.standin.engine;

import com.fasterxml.jackson.annotation.JsonUnwrapped;
import org.teaseldeal.settings.toml.TomlReader;
import org.teaseldeal.standin.fault.AnswerFaults;
import org.teaseldeal.standin.fault.FaultSettings;

/**
 * The faults of an engine.
 *
 * @param seed the seed of the random source that decides which cases a share affects
 * @param slowFactor the factor by which the duration of each iteration is multiplied
 * @param refuseShare the share of requests that are not run and answered with 503
 * @param silentRequestShare the share of requests that are not run and never answered
 * @param silentAnswerShare the share of requests that are run and never answered
 * @param silentStreamShare the share of answers that stop midway while their connection stays open
 * @param silentAfterFrames the number of frames that such an answer sends first
 * @param silentStreams whether all answers, those in progress and new ones, stop for good while
 *     their connections stay open
 * @param silentLoad whether requests for the load report are never answered
 * @param crossedFrameShare the share of frames before which a frame of another attempt is sent
 * @param lateFrameShare the share of frames after which the previous frame is sent once more
 * @param brokenStreamShare the share of frames after which the connection is closed; the request
 *     keeps running
 * @param crashMarker the text in a prompt that crashes the engine
 * @param crashMode the effect of such a crash
 * @param crashAfterFrames the number of frames that such a request generates before the crash
 * @param answers how answers are framed, and which of them are broken off
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
    int crashAfterFrames,
    @JsonUnwrapped AnswerFaults answers)
    implements FaultSettings {
  private static final int MAX_FRAMES = 1_000_000;

  /** No faults. */
  public static final EngineFaults NONE =
      new EngineFaults(
          1,
          1,
          0,
          0,
          0,
          0,
          3,
          false,
          false,
          0,
          0,
          0,
          "crash-the-engine",
          CrashMode.OFF,
          0,
          AnswerFaults.NONE);

  /** Reads fault settings; keys that {@code table} lacks have their value in {@code defaults}. */
  public static EngineFaults read(TomlReader table, EngineFaults defaults) {
    return new EngineFaults(
        table.longInRange("seed", defaults.seed, 0, Long.MAX_VALUE),
        table.doubleInRange("slow_factor", defaults.slowFactor, 0.001, 100_000),
        table.doubleInRange("refuse_share", defaults.refuseShare, 0, 1),
        table.doubleInRange("silent_request_share", defaults.silentRequestShare, 0, 1),
        table.doubleInRange("silent_answer_share", defaults.silentAnswerShare, 0, 1),
        table.doubleInRange("silent_stream_share", defaults.silentStreamShare, 0, 1),
        table.intInRange("silent_after_frames", defaults.silentAfterFrames, 0, MAX_FRAMES),
        table.bool("silent_streams", defaults.silentStreams),
        table.bool("silent_load", defaults.silentLoad),
        table.doubleInRange("crossed_frame_share", defaults.crossedFrameShare, 0, 1),
        table.doubleInRange("late_frame_share", defaults.lateFrameShare, 0, 1),
        table.doubleInRange("broken_stream_share", defaults.brokenStreamShare, 0, 1),
        table.text("crash_marker", defaults.crashMarker),
        table.enumConstant("crash_mode", defaults.crashMode),
        table.intInRange("crash_after_frames", defaults.crashAfterFrames, 0, MAX_FRAMES),
        AnswerFaults.read(table, defaults.answers));
  }

  /** Returns whether a request with this prompt crashes the engine. */
  boolean crashes(String prompt) {
    return crashMode != CrashMode.OFF && prompt.contains(crashMarker);
  }
}
